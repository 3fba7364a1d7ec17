package gate

// MaxAnswerBytes is the limit of an answer that is held in memory.
const MaxAnswerBytes = maxAnswerBytes

// AnswerStepBytes is by how much the memory of an answer grows at a time.
const AnswerStepBytes = answerStepBytes

// FreeAnswerBytes is the part of each answer that is not counted.
const FreeAnswerBytes = freeAnswerBytes
