package wslink

import (
	"bytes"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// frameKind tells what a frame is.
type frameKind uint8

const (
	// kindHello is the first frame of both ends.
	kindHello frameKind = iota + 1
	// kindRequest asks for a reply.
	kindRequest
	// kindReply answers a request.
	kindReply
	// kindOneWay is a message without a reply.
	kindOneWay
	// kindClose says that its sender sends no more requests on this link.
	kindClose
)

// replyCode tells how a request ended.
type replyCode uint8

const (
	// codeOK replies carry a payload.
	codeOK replyCode = iota
	// codeRemote replies carry the handler's error text.
	codeRemote
	// codeUnknownMethod: there is no handler.
	codeUnknownMethod
	// codeRefused: the request was not given to a handler.
	codeRefused
)

const (
	// maxMethodBytes bounds the name of a method.
	maxMethodBytes = 128
	// maxTextBytes bounds an error text; longer ones are cut.
	maxTextBytes = 1024
	// maxNameBytes bounds each string of a hello.
	maxNameBytes = 256
)

// frame is what links carry, one in each WebSocket message.
type frame struct {
	Kind    frameKind   `cbor:"1,keyasint"`
	ID      uint64      `cbor:"2,keyasint,omitempty"`
	Method  peer.Method `cbor:"3,keyasint,omitempty"`
	Payload []byte      `cbor:"4,keyasint,omitempty"`
	Code    replyCode   `cbor:"5,keyasint,omitempty"`
	Text    string      `cbor:"6,keyasint,omitempty"`
	// TimeLeft is what is left of the caller's deadline, milliseconds; 0 for none.
	TimeLeft uint64 `cbor:"7,keyasint,omitempty"`
	// Member is the sender's life, in a hello.
	Member *domain.Member `cbor:"8,keyasint,omitempty"`
}

// frameDecoder refuses what a well-behaved end never sends. Unknown fields are
// ignored, so that later versions may add some.
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

// encodeFrame returns the frame's bytes.
func encodeFrame(f *frame) ([]byte, error) {
	if len(f.Text) > maxTextBytes {
		f.Text = f.Text[:maxTextBytes]
	}
	f.Text = string(bytes.ToValidUTF8([]byte(f.Text), []byte("?")))
	return cbor.Marshal(f)
}

// decodeFrame returns the frame in data, which it does not keep, or ErrProtocol.
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

// check returns ErrProtocol for a frame that no well-behaved end sends.
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
		return fmt.Errorf("%w: frame of kind %d", ErrProtocol, f.Kind)
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

// millis rounds a duration up to whole milliseconds.
func millis(d time.Duration) uint64 {
	if d <= 0 {
		return 1
	}
	return uint64((d + time.Millisecond - 1) / time.Millisecond)
}

// maxTimeLeft bounds the deadline that a frame may carry.
const maxTimeLeft = 24 * time.Hour

// timeLeft returns the caller's deadline as a duration; zero for none.
func (f *frame) timeLeft() time.Duration {
	if f.TimeLeft > uint64(maxTimeLeft/time.Millisecond) {
		return maxTimeLeft
	}
	return time.Duration(f.TimeLeft) * time.Millisecond
}
