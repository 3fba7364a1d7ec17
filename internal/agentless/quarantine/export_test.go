package quarantine

// Limits of the calls to the store, for specs.
const (
	WriteInterval = writeInterval
	WriteBurst    = writeBurst
)
