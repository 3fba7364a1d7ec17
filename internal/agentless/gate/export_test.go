package gate

// MaxAnswerBytes is the limit of an answer that is held in memory.
const MaxAnswerBytes = maxAnswerBytes
