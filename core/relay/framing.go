package relay

// Framing is how the end of an answer's body is indicated.
type Framing string

const (
	// FramedByLength and FramedByChunks indicate the end in the answer itself, so that one
	// that was broken off is recognized by its missing rest.
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByClose indicates the end by the end of the connection, as a broken-off answer
	// does too.
	FramedByClose Framing = "close"
	// FramedByNode is an answer from another node, which ends with a message of its own.
	FramedByNode Framing = "node"
)
