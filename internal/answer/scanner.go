package answer

// scanner checks the bytes of a status line and of header fields against the grammar of RFC 9112, one by one. Lines
// end with CR LF, and a value does not go on in the next line.
type scanner struct {
	state state
	// position counts the bytes of the version or of the status.
	position int
	status   int
	minor    byte
}

// state is the part of a head that the next byte belongs to.
type state uint8

const (
	inVersion state = iota
	inMinorVersion
	beforeStatus
	inStatus
	afterStatus
	inReason
	atLineEnd
	atFieldStart
	inName
	inValue
	atEnd
	ended
)

const (
	versionPrefix = "HTTP/1."
	statusDigits  = 3
)

// scan checks bytes up to the end of the head, and returns how many belong to it.
func (s *scanner) scan(data []byte) (count int, err error) {
	for index, char := range data {
		if s.state == ended {
			return index, nil
		}
		if err := s.next(char); err != nil {
			return index, err
		}
	}
	return len(data), nil
}

func (s *scanner) next(char byte) error {
	switch s.state {
	case inVersion, inMinorVersion, beforeStatus:
		return s.nextOfVersion(char)
	case inStatus, afterStatus, inReason:
		return s.nextOfStatus(char)
	case atLineEnd, atEnd:
		return s.nextOfLineEnd(char)
	default:
		return s.nextOfField(char)
	}
}

func (s *scanner) nextOfVersion(char byte) error {
	switch s.state {
	case inVersion:
		if char != versionPrefix[s.position] {
			return malformed(CauseVersion)
		}
		if s.position++; s.position == len(versionPrefix) {
			s.state = inMinorVersion
		}
	case inMinorVersion:
		if char != '0' && char != '1' {
			return malformed(CauseVersion)
		}
		s.minor, s.state = char, beforeStatus
	case beforeStatus:
		if char != ' ' {
			return malformed(CauseVersion)
		}
		s.position, s.state = 0, inStatus
	}
	return nil
}

func (s *scanner) nextOfStatus(char byte) error {
	switch {
	case s.state == inStatus:
		return s.nextOfCode(char)
	case char == '\r':
		s.state = atLineEnd
	case s.state == afterStatus && char == ' ':
		s.state = inReason
	case s.state == afterStatus || !isText(char):
		return malformed(CauseStatus)
	}
	return nil
}

// nextOfCode checks a digit of the status.
func (s *scanner) nextOfCode(char byte) error {
	if char < '0' || char > '9' {
		return malformed(CauseStatus)
	}
	s.status = s.status*10 + int(char-'0')
	s.position++
	if s.position == 1 && !isClass(s.status) {
		return malformed(CauseStatus)
	}
	if s.position < statusDigits {
		return nil
	}
	s.state = afterStatus
	return checkStatus(s.status)
}

func (s *scanner) nextOfLineEnd(char byte) error {
	if char != '\n' {
		return malformed(CauseLineEnd)
	}
	if s.state == atEnd {
		s.state = ended
	} else {
		s.state = atFieldStart
	}
	return nil
}

func (s *scanner) nextOfField(char byte) error {
	switch s.state {
	case atFieldStart:
		if char == '\r' {
			s.state = atEnd
			return nil
		}
		s.state = inName
		if !isNameChar[char] {
			return malformed(CauseName)
		}
	case inName:
		if char == ':' {
			s.state = inValue
		} else if !isNameChar[char] {
			return malformed(CauseName)
		}
	case inValue:
		if char == '\r' {
			s.state = atLineEnd
		} else if !isText(char) {
			return malformed(CauseValue)
		}
	}
	return nil
}

// isText reports whether a byte may stand in a value or a reason: visible characters, blanks, tabs, and bytes above
// those of ASCII.
func isText(char byte) bool { return char >= ' ' && char != 0x7f || char == '\t' }

// isNameChar is whether a byte may stand in the name of a field: the characters of a token.
var isNameChar = func() (table [256]bool) {
	for _, char := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		table[char] = true
	}
	return table
}()
