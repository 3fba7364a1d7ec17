package wire

import "time"

// ImportRequest asks an agent to fetch the KV cache of a stream that runs at
// another agent's engine and to import it into its own engine.
type ImportRequest struct {
	Cache     string // ID of the copy; the stream that continues with it has it in Resume.Cache
	Source    string // inner address of the agent of the engine that has the cache
	Request   string // ID of the attempt that runs there
	Remaining time.Duration
}

// ImportReply is the result of an import. If Imported is false, the engine imported
// nothing.
type ImportReply struct {
	Imported bool
	Version  int64 // weight version active at the exporting engine during the export; 0: unknown
	Bytes    int64
	Detail   string
}

// ExportRequest asks an agent for a piece of the KV cache of a stream that runs at
// its engine. Pieces are requested in order, starting at 0, each once.
type ExportRequest struct {
	Cache   string
	Request string
	Piece   int
}

// ExportReply contains the piece. If Found is false, the export has ended.
type ExportReply struct {
	Found   bool
	Version int64
	Last    bool
	Data    []byte
}
