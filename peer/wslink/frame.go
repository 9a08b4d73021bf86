package wslink

import (
	"bytes"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// frameKind is the type of a frame.
type frameKind uint8

const (
	// kindHello is the first frame that each end sends.
	kindHello frameKind = iota + 1
	// kindRequest is a request that expects a reply.
	kindRequest
	// kindReply is the reply to a request.
	kindReply
	// kindOneWay is a message without a reply.
	kindOneWay
	// kindClose announces that its sender sends no more requests on this link.
	kindClose
)

// replyCode is the outcome of a request.
type replyCode uint8

const (
	// codeOK: the handler succeeded; the reply carries its payload.
	codeOK replyCode = iota
	// codeRemote: the handler failed; the reply carries the error text.
	codeRemote
	// codeUnknownMethod: no handler is registered for the method.
	codeUnknownMethod
	// codeRefused: the request was refused without calling a handler.
	codeRefused
)

const (
	// maxMethodBytes limits the name of a method.
	maxMethodBytes = 128
	// maxTextBytes limits an error text; longer ones are truncated.
	maxTextBytes = 1024
	// maxNameBytes limits each string in a hello.
	maxNameBytes = 256
)

// frame is the unit of the protocol. Each WebSocket message carries one.
type frame struct {
	Kind    frameKind   `cbor:"1,keyasint"`
	ID      uint64      `cbor:"2,keyasint,omitempty"`
	Method  peer.Method `cbor:"3,keyasint,omitempty"`
	Payload []byte      `cbor:"4,keyasint,omitempty"`
	Code    replyCode   `cbor:"5,keyasint,omitempty"`
	Text    string      `cbor:"6,keyasint,omitempty"`
	// TimeLeft is the time until the caller's deadline in milliseconds; 0 for no
	// deadline.
	TimeLeft uint64 `cbor:"7,keyasint,omitempty"`
	// Member is the member record of the sender, in a hello.
	Member *domain.Member `cbor:"8,keyasint,omitempty"`
}

// frameDecoder rejects CBOR features and sizes that this protocol never uses. Unknown
// fields are ignored, so that later versions may add fields.
var frameDecoder = mustDecoder(cbor.DecOptions{
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
	MaxNestedLevels:  8,
	MaxMapPairs:      32,
	MaxArrayElements: 16,
})

func mustDecoder(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encodeFrame encodes the frame. It truncates the error text and replaces invalid
// UTF-8 in it.
func encodeFrame(f *frame) ([]byte, error) {
	if len(f.Text) > maxTextBytes {
		f.Text = f.Text[:maxTextBytes]
	}
	f.Text = string(bytes.ToValidUTF8([]byte(f.Text), []byte("?")))
	return cbor.Marshal(f)
}

// decodeFrame decodes a frame, or returns ErrProtocol. It does not retain data.
func decodeFrame(data []byte) (*frame, error) {
	f := new(frame)
	if err := frameDecoder.Unmarshal(data, f); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrProtocol, err)
	}
	if err := f.check(); err != nil {
		return nil, err
	}
	return f, nil
}

// check returns ErrProtocol for a frame that the protocol does not allow.
func (f *frame) check() error {
	switch f.Kind {
	case kindHello:
		return f.checkHello()
	case kindRequest:
		return f.require(f.ID != 0 && f.methodOK(), "request")
	case kindReply:
		return f.require(f.ID != 0 && f.Code <= codeRefused && len(f.Text) <= maxTextBytes, "reply")
	case kindOneWay:
		return f.require(f.ID == 0 && f.methodOK(), "message")
	case kindClose:
		return nil
	default:
		return fmt.Errorf("%w: unknown frame kind %d", ErrProtocol, f.Kind)
	}
}

func (f *frame) checkHello() error {
	m := f.Member
	ok := m != nil && m.Node != "" && m.Incarnation != 0 &&
		len(m.Node) <= maxNameBytes && len(m.DataCentre) <= maxNameBytes && len(m.Address) <= maxNameBytes
	return f.require(ok, "hello")
}

func (f *frame) methodOK() bool { return f.Method != "" && len(f.Method) <= maxMethodBytes }

func (f *frame) require(ok bool, what string) error {
	if ok {
		return nil
	}
	return fmt.Errorf("%w: malformed %s", ErrProtocol, what)
}

// ceilMillis rounds a duration up to whole milliseconds, at least 1, because 0 means
// no deadline.
func ceilMillis(d time.Duration) uint64 {
	if d <= 0 {
		return 1
	}
	return uint64((d + time.Millisecond - 1) / time.Millisecond)
}

// maxTimeLeft limits the time until the deadline that a frame may carry.
const maxTimeLeft = 24 * time.Hour

// timeLeft returns the time until the caller's deadline; zero for no deadline.
func (f *frame) timeLeft() time.Duration {
	if f.TimeLeft > uint64(maxTimeLeft/time.Millisecond) {
		return maxTimeLeft
	}
	return time.Duration(f.TimeLeft) * time.Millisecond
}
