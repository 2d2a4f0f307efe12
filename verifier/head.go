package verifier

import (
	"net/http"
	"strconv"
	"strings"
)

// protocol is the beginning of a status line, up to the minor version.
const protocol = "HTTP/1."

const (
	minStatus    = 100
	maxStatus    = 599
	statusDigits = 3
)

type headState uint8

const (
	headEnded headState = iota
	inVersion
	beforeStatus
	inStatus
	inPhrase
	atLineStart
	inName
	inValue
	afterCR
)

// Head checks the bytes of the head of a response, or of the trailer behind a chunked body, as they arrive. The zero
// value is a head that has ended.
type Head struct {
	state headState
	// position counts the bytes of the version or the digits of the status.
	position int
	// minor is the minor version.
	minor  byte
	status int
	// endsHead is true if the line end that has begun is that of the blank line.
	endsHead bool
	// hasFields is true behind the first line with a field.
	hasFields bool
	// token is the beginning of the current name, or of the value of a field that frames the body.
	token   token
	framing framingField
	// length is the Content-Length, or unknownLength.
	length  int64
	chunked bool
}

const unknownLength = -1

// framingField is a field that tells where the body ends.
type framingField uint8

const (
	noFraming framingField = iota
	contentLength
	transferEncoding
)

// token holds the beginning of a name or value.
type token struct {
	bytes [maxDetailBytes]byte
	// size is that of the whole token.
	size int
}

func (t *token) add(c byte) {
	if t.size < len(t.bytes) {
		t.bytes[t.size] = c
	}
	t.size++
}

func (t *token) String() string {
	return string(t.bytes[:min(t.size, len(t.bytes))])
}

// Begin starts to check the head of a response.
func (h *Head) Begin() {
	*h = Head{state: inVersion, length: unknownLength}
}

// beginTrailer starts to check the trailer behind the last chunk of a body.
func (h *Head) beginTrailer() {
	*h = Head{state: atLineStart, status: h.status, length: unknownLength}
}

// Ended reports whether the last byte of the head was checked.
func (h *Head) Ended() bool {
	return h.state == headEnded
}

// Scan checks the next bytes. It returns the number of those that belong to the head, and an ErrBrokenResponse if the
// byte after them breaks a rule. Bytes behind the end of the head are left to the caller.
func (h *Head) Scan(b []byte) (int, error) {
	for i, c := range b {
		if h.state == headEnded {
			return i, nil
		}
		if err := h.next(c); err != nil {
			h.state = headEnded
			return i, err
		}
	}
	return len(b), nil
}

func (h *Head) broken(reason Reason, c byte) error {
	h.token.add(c)
	return ErrBrokenResponse{Reason: reason, Detail: h.token.String()}
}

func (h *Head) next(c byte) error {
	switch h.state {
	case inVersion, beforeStatus, inStatus, inPhrase:
		return h.nextOfStatusLine(c)
	case atLineStart:
		return h.nextOfLineStart(c)
	case inName:
		return h.nextOfName(c)
	case inValue:
		return h.nextOfValue(c)
	default:
		return h.nextOfLineEnd(c)
	}
}

func (h *Head) nextOfStatusLine(c byte) error {
	switch {
	case h.state == inVersion:
		return h.nextOfVersion(c)
	case h.state == beforeStatus && c == ' ':
	case h.state == inPhrase || h.state == inStatus && h.position == statusDigits:
		return h.nextOfPhrase(c)
	default:
		return h.nextOfStatus(c)
	}
	return nil
}

func (h *Head) nextOfVersion(c byte) error {
	switch {
	case h.position < len(protocol) && c == protocol[h.position]:
	case h.position == len(protocol) && isDigit(c):
		h.minor = c - '0'
	case h.position > len(protocol) && c == ' ':
		h.state, h.position, h.token = beforeStatus, 0, token{}
		return nil
	default:
		return h.broken(ReasonVersion, c)
	}
	h.token.add(c)
	h.position++
	return nil
}

func (h *Head) nextOfStatus(c byte) error {
	if !isDigit(c) {
		return h.broken(ReasonStatus, c)
	}
	h.state = inStatus
	h.status = 10*h.status + int(c-'0')
	h.position++
	switch {
	case h.position < statusDigits:
	case h.status < minStatus || h.status > maxStatus:
		return h.broken(ReasonStatus, c)
	case h.status == http.StatusSwitchingProtocols:
		return h.broken(ReasonSwitched, c)
	}
	h.token.add(c)
	return nil
}

// nextOfPhrase checks the rest of the status line. The reason phrase may be missing.
func (h *Head) nextOfPhrase(c byte) error {
	switch {
	case c == '\r' || c == '\n':
		return h.endLine(c)
	case h.state == inStatus && c != ' ':
		return h.broken(ReasonStatus, c)
	case !isTextByte(c):
		return h.broken(ReasonPhrase, c)
	}
	h.state, h.token = inPhrase, token{}
	return nil
}

// endLine takes the first byte of a line end.
func (h *Head) endLine(c byte) error {
	h.state = afterCR
	if c == '\n' {
		return h.nextOfLineEnd(c)
	}
	return nil
}

func (h *Head) nextOfLineEnd(c byte) error {
	switch {
	case c != '\n':
		return h.broken(ReasonLineEnd, c)
	case h.endsHead:
		h.state = headEnded
	default:
		h.state = atLineStart
	}
	return nil
}

func (h *Head) nextOfLineStart(c byte) error {
	if (c == ' ' || c == '\t') && h.hasFields { // continues the value of the line before
		return h.nextOfValue(c)
	}
	if err := h.endField(); err != nil {
		return err
	}
	h.token = token{}
	if c == '\r' || c == '\n' {
		h.endsHead = true
		return h.endLine(c)
	}
	h.hasFields = true
	return h.nextOfName(c)
}

func (h *Head) nextOfName(c byte) error {
	if c != ':' {
		h.state = inName
		h.token.add(c)
		return nil
	}
	h.framing = framingOf(h.token.String())
	h.state, h.token = inValue, token{}
	return nil
}

func (h *Head) nextOfValue(c byte) error {
	if c == '\r' || c == '\n' {
		return h.endLine(c)
	}
	h.state = inValue
	if h.framing != noFraming {
		h.token.add(c)
	}
	return nil
}

// endField takes the value of the field before, if it frames the body.
func (h *Head) endField() error {
	framing := h.framing
	h.framing = noFraming
	value := strings.Trim(h.token.String(), " \t")
	switch {
	case framing == noFraming:
	case h.status < http.StatusOK && value != "0":
		return ErrBrokenResponse{Reason: ReasonInterimBody, Detail: value}
	case framing == transferEncoding:
		h.chunked = true
	default:
		length, err := strconv.ParseUint(value, 10, 63)
		if err == nil {
			h.length = int64(length)
		}
	}
	return nil
}

func framingOf(name string) framingField {
	switch {
	case strings.EqualFold(name, "Content-Length"):
		return contentLength
	case strings.EqualFold(name, "Transfer-Encoding"):
		return transferEncoding
	}
	return noFraming
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}

// isTextByte reports whether a byte may stand in a value or a reason phrase: it is no control byte but the tab.
func isTextByte(c byte) bool {
	return c >= ' ' && c != 0x7f || c == '\t'
}
