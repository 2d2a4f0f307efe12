package verifier

import (
	"bytes"
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

var (
	contentLengthName    = []byte("Content-Length")
	transferEncodingName = []byte("Transfer-Encoding")
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

// head checks the bytes of the head of a response, or of the trailer behind a chunked body, as they arrive. The zero
// value is a head that has ended.
type head struct {
	state headState
	// position counts the bytes of the version or the digits of the status.
	position int
	// minor is the minor version.
	minor  byte
	status int
	// endsHead is true if the line end that has begun is that of the blank line.
	endsHead  bool
	isTrailer bool
	// hasFields is true behind the first line with a field.
	hasFields bool
	// token is the beginning of the version, of the status, of the current name, or of the value of a field that frames the body.
	token   token
	framing framingField
	// blank is true if blanks follow that value so far.
	blank bool
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

func (t *token) addAll(b []byte) {
	if t.size < len(t.bytes) {
		copy(t.bytes[t.size:], b)
	}
	t.size += len(b)
}

func (t *token) String() string {
	return string(t.bytes[:min(t.size, len(t.bytes))])
}

// begin starts to check the head of a response.
func (h *head) begin() {
	*h = head{state: inVersion, length: unknownLength}
}

// beginTrailer starts to check the trailer behind the last chunk of a body.
func (h *head) beginTrailer() {
	*h = head{state: atLineStart, isTrailer: true}
}

// ended reports whether the last byte of the head was checked.
func (h *head) ended() bool {
	return h.state == headEnded
}

// scan checks the next bytes. It returns the number of those that belong to the head, and an ErrBrokenResponse if the
// byte after them breaks a rule. Bytes behind the end of the head are left to the caller.
func (h *head) scan(b []byte) (int, error) {
	for i := 0; i < len(b); i++ {
		i += h.skip(b[i:])
		if i == len(b) || h.state == headEnded {
			return i, nil
		}
		if err := h.step(b[i]); err != nil {
			h.state = headEnded
			return i, err
		}
	}
	return len(b), nil
}

// skip takes the bytes of a name, or of a value that need not be known, up to the end of it. These are most bytes of a
// head.
func (h *head) skip(b []byte) int {
	n := 0
	switch {
	case h.state == inName:
		for n < len(b) && byteClasses[b[n]]&tokenByte != 0 {
			n++
		}
		h.token.addAll(b[:n])
	case h.state == inValue && h.framing == noFraming:
		for n < len(b) && byteClasses[b[n]]&textByte != 0 {
			n++
		}
	}
	return n
}

func (h *head) broken(reason Reason, c byte) error {
	h.token.add(c)
	return ErrBrokenResponse{Reason: reason, Detail: h.token.String()}
}

func (h *head) step(c byte) error {
	switch h.state {
	case inVersion, beforeStatus, inStatus, inPhrase:
		return h.stepStatusLine(c)
	case atLineStart:
		return h.stepLineStart(c)
	case inName:
		return h.stepName(c)
	case inValue:
		return h.stepValue(c)
	default:
		return h.stepLineEnd(c)
	}
}

func (h *head) stepStatusLine(c byte) error {
	switch {
	case h.state == inVersion:
		return h.stepVersion(c)
	case h.state == beforeStatus && c == ' ':
	case h.state == inPhrase || h.state == inStatus && h.position == statusDigits:
		return h.stepPhrase(c)
	default:
		return h.stepStatus(c)
	}
	return nil
}

func (h *head) stepVersion(c byte) error {
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

func (h *head) stepStatus(c byte) error {
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

// stepPhrase checks the rest of the status line. The reason phrase may be missing.
func (h *head) stepPhrase(c byte) error {
	switch {
	case c == '\r' || c == '\n':
		return h.endLine(c)
	case h.state == inStatus && c != ' ':
		return h.broken(ReasonStatus, c)
	case byteClasses[c]&textByte == 0:
		return h.broken(ReasonPhrase, c)
	}
	h.state, h.token = inPhrase, token{}
	return nil
}

// endLine takes the first byte of a line end.
func (h *head) endLine(c byte) error {
	h.state = afterCR
	if c == '\n' {
		return h.stepLineEnd(c)
	}
	return nil
}

func (h *head) stepLineEnd(c byte) error {
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

func (h *head) stepLineStart(c byte) error {
	if (c == ' ' || c == '\t') && h.hasFields { // continues the value of the line before
		return h.stepValue(c)
	}
	if err := h.endField(); err != nil {
		return err
	}
	h.token.size = 0
	if c == '\r' || c == '\n' {
		h.endsHead = true
		return h.endLine(c)
	}
	h.hasFields = true
	return h.stepName(c)
}

func (h *head) stepName(c byte) error {
	switch {
	case byteClasses[c]&tokenByte != 0:
		h.state = inName
		h.token.add(c)
		return nil
	case c != ':' || h.token.size == 0:
		return h.broken(ReasonFieldName, c)
	}
	h.framing = framingOf(h.token.bytes[:min(h.token.size, len(h.token.bytes))])
	h.state = inValue
	h.token.size = 0
	return nil
}

func (h *head) stepValue(c byte) error {
	switch {
	case c == '\r' || c == '\n':
		return h.endLine(c)
	case byteClasses[c]&textByte == 0:
		return h.broken(ReasonFieldValue, c)
	case h.framing != noFraming:
		h.addToValue(c)
	}
	h.state = inValue
	return nil
}

// addToValue adds a byte to the value of a field that frames the body. Blanks around the value are left out, and those
// within it are joined.
func (h *head) addToValue(c byte) {
	if c == ' ' || c == '\t' {
		h.blank = h.token.size > 0
		return
	}
	if h.blank {
		h.token.add(' ')
	}
	h.blank = false
	h.token.add(c)
}

// endField checks the value of the field before, if it frames the body.
func (h *head) endField() error {
	if h.framing == noFraming || h.isTrailer {
		return nil
	}
	framing := h.framing
	h.framing, h.blank = noFraming, false
	value := h.token.String()
	switch {
	case h.status < http.StatusOK && value != "0":
		return ErrBrokenResponse{Reason: ReasonInterimBody, Detail: value}
	case framing == transferEncoding && (h.chunked || h.minor != 1 || !strings.EqualFold(value, "chunked")):
		return ErrBrokenResponse{Reason: ReasonTransferEncoding, Detail: value}
	case framing == transferEncoding:
		h.chunked = true
	default:
		length, err := strconv.ParseUint(value, 10, 63)
		if err != nil || h.token.size > len(h.token.bytes) || h.length != unknownLength && h.length != int64(length) {
			return ErrBrokenResponse{Reason: ReasonLength, Detail: value}
		}
		h.length = int64(length)
	}
	return nil
}

func framingOf(name []byte) framingField {
	switch {
	case len(name) == len(contentLengthName) && bytes.EqualFold(name, contentLengthName):
		return contentLength
	case len(name) == len(transferEncodingName) && bytes.EqualFold(name, transferEncodingName):
		return transferEncoding
	}
	return noFraming
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}

const (
	// tokenByte is a byte that may stand in the name of a field.
	tokenByte = 1 << iota
	// textByte is one that may stand in a value or a reason phrase: no control byte but the tab.
	textByte
)

// byteClasses has the classes of each byte.
var byteClasses = func() (classes [256]uint8) {
	for c := range classes {
		if c >= ' ' && c != 0x7f || c == '\t' {
			classes[c] |= textByte
		}
	}
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		classes[c] |= tokenByte
	}
	return classes
}()
