package answer

// Cause is what is wrong with an answer.
type Cause string

// The causes.
const (
	// CauseVersion is a first line that does not begin with a version of HTTP/1 and one blank.
	CauseVersion Cause = "version"
	// CauseStatus is a status outside 100 to 599, one of more or fewer than three digits, 101 where no other
	// protocol was asked for, or a control character in the reason.
	CauseStatus Cause = "status"
	// CauseName is a field whose name is no token, or a line that continues another one.
	CauseName Cause = "field_name"
	// CauseValue is a control character in the value of a field.
	CauseValue Cause = "field_value"
	// CauseLineEnd is a line that does not end with CR LF.
	CauseLineEnd Cause = "line_end"
	// CauseFraming is a length that is no number, several lengths, a length beside chunks, another coding than
	// chunks, or any coding in HTTP/1.0.
	CauseFraming Cause = "framing"
	// CauseTrailer is a trailer that is malformed in one of these ways, or too long.
	CauseTrailer Cause = "trailer"
)

// Causes are all causes.
var Causes = []Cause{CauseVersion, CauseStatus, CauseName, CauseValue, CauseLineEnd, CauseFraming, CauseTrailer}

// MalformedError means that bytes are no answer of HTTP/1.
type MalformedError struct {
	Cause Cause
}

// Error implements error.
func (e *MalformedError) Error() string { return "malformed answer: " + string(e.Cause) }

func malformed(cause Cause) error { return &MalformedError{Cause: cause} }
