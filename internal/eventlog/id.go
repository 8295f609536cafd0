package eventlog

import "strings"

// maxIDBytes bounds an identifier in the log that a client has chosen.
const maxIDBytes = 128

// ID returns a copy of the beginning of an identifier as it stands in the log: entries that wait must not keep a whole
// header in memory.
func ID[T ~string](id T) string { return strings.Clone(string(id[:min(len(id), maxIDBytes)])) }
