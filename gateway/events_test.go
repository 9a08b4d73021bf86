package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"hawthornrill.example/hawthornrill/bytebudget"
	"hawthornrill.example/hawthornrill/endpoint"
)

// parsedEvent is an event with its own data.
type parsedEvent struct {
	ID, Data string
	Trailing bool
}

// readEvents reads all events of a stream.
func readEvents(r io.Reader) (list []parsedEvent, err error) {
	events := newEventReader(r, new(bytebudget.New(4*maxEventBytes, 0).Reserve(1)))
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			return list, nil
		}
		if err != nil {
			return list, err
		}
		list = append(list, parsedEvent{e.id, string(e.data), e.trailing})
	}
}

// referenceEvents parses a whole text line by line. whole is false if it ends in the middle of an event.
func referenceEvents(text string) (list []parsedEvent, whole bool) {
	var e parsedEvent
	fields := false
	for text != "" {
		i := strings.IndexAny(text, "\r\n")
		if i < 0 {
			return list, false
		}
		end := i + 1
		if strings.HasPrefix(text[i:], "\r\n") {
			end++
		}
		line := text[:i]
		e.Data += text[:end]
		text = text[end:]
		switch {
		case line == "" && fields:
			list = append(list, e)
			e, fields = parsedEvent{}, false
		case line == "" || line[0] == ':':
		default:
			fields = true
			if value, ok := strings.CutPrefix(line, "id:"); ok {
				e.ID = strings.TrimSpace(value)
			}
		}
	}
	if e.Data != "" && !fields {
		list = append(list, parsedEvent{Data: e.Data, Trailing: true})
	}
	return list, !fields
}

// joined joins the bytes of all events.
func joined(list []parsedEvent) string {
	text := ""
	for _, e := range list {
		text += e.Data
	}
	return text
}

// ids returns the IDs of the events.
func ids(list []parsedEvent) (ids []string) {
	for _, e := range list {
		if !e.Trailing {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// splitReader returns as many bytes at a time as it draws.
type splitReader struct {
	text   string
	random *rand.Rand
	max    int
}

func (r *splitReader) Read(p []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	n := copy(p, r.text[:min(len(r.text), 1+r.random.IntN(r.max))])
	r.text = r.text[n:]
	return n, nil
}

// checkEvents compares what is read with the reference. Line ends may be split: an LF may come with the event after its CR.
func checkEvents(t *testing.T, text string, r io.Reader) {
	t.Helper()
	want, whole := referenceEvents(text)
	got, err := readEvents(r)
	assert.Assert(t, cmp.DeepEqual(ids(got), ids(want)))
	if !whole {
		assert.ErrorIs(t, err, endpoint.ErrBroken)
		return
	}
	assert.NilError(t, err)
	assert.Assert(t, joined(got) == joined(want))
	assert.Equal(t, joined(got), text)
}

// drawStream draws a stream with lines of every kind and of lengths around the reader's buffer.
func drawStream(random *rand.Rand) string {
	ends := []string{"\n", "\r\n", "\r"}
	lengths := []int{0, 1, 80, eventBufferBytes - 8, eventBufferBytes - 7, eventBufferBytes - 6, eventBufferBytes - 5, 2*eventBufferBytes - 6, 10_000}
	kinds := []string{"data: ", "data: ", "id: ", "event: ", ": ", "other", ""}
	var text strings.Builder
	for range random.IntN(40) {
		end := ends[random.IntN(len(ends))]
		kind := kinds[random.IntN(len(kinds))]
		if kind != "" {
			kind += strings.Repeat([]string{"x", "id:"}[random.IntN(2)], lengths[random.IntN(len(lengths))])
		}
		text.WriteString(kind + end)
		if kind != "" && random.IntN(2) == 0 {
			text.WriteString(end)
		}
	}
	if random.IntN(4) == 0 {
		text.WriteString("data: rest")
	}
	return text.String()
}

// Guards against events that end too early, or have another id, depending on the lengths of lines and on how a stream is split into reads.
func TestEventsOfAnyLinesAndReads(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		text := drawStream(random)
		checkEvents(t, text, &splitReader{text, random, 1 + random.IntN(5000)})
	}
}

// Guards against a line of the buffer's length, after which an event seemed to end.
func TestLineAsLongAsBuffer(t *testing.T) {
	for _, length := range []int{eventBufferBytes, 2 * eventBufferBytes} {
		line := "data: " + strings.Repeat("x", length-len("data: "))
		for _, end := range []string{"\n", "\r\n", "\r"} {
			text := "id: 1" + end + line + end + "data: more" + end + end
			got, err := readEvents(strings.NewReader(text))
			assert.NilError(t, err)
			assert.DeepEqual(t, got, []parsedEvent{{ID: "1", Data: text}})
		}
	}
}

// Guards against the rest of a long line being taken for a field.
func TestRestOfLongLineIsNoField(t *testing.T) {
	text := "id: 1\ndata: " + strings.Repeat("x", eventBufferBytes-len("id: 1\ndata: ")) + "id: 2\n\n"
	got, err := readEvents(strings.NewReader(text))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []parsedEvent{{ID: "1", Data: text}})
}

func TestEventIsReadBeforeTheStreamContinues(t *testing.T) {
	for _, end := range []string{"\n", "\r\n", "\r"} {
		in, out := io.Pipe()
		events := newEventReader(in, &bytebudget.Reservation{})
		go func() { _, _ = io.WriteString(out, "id: 1"+end+"data: a"+end+end) }()
		e, err := events.next()
		assert.NilError(t, err)
		assert.Equal(t, e.id, "1")
		_ = out.Close()
		_, err = events.next()
		assert.ErrorIs(t, err, io.EOF)
	}
}

func TestCommentsBelongToTheNextEvent(t *testing.T) {
	text := ": first\n\n\n: second\nid: 1\ndata: a\n\n: last\n\n"
	got, err := readEvents(iotest.OneByteReader(strings.NewReader(text)))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []parsedEvent{{ID: "1", Data: ": first\n\n\n: second\nid: 1\ndata: a\n\n"}, {Data: ": last\n\n", Trailing: true}})
}

// Guards against an event, or comments, without end.
func TestEndlessEventsAreBroken(t *testing.T) {
	for name, test := range map[string]struct{ begin, repeated string }{
		"line": {"data: ", "x"}, "lines": {"", "data: x\n"}, "comment": {": ", "x"}, "comments": {"", ": x\n\n"}, "blank lines": {"", "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readEvents(strings.NewReader(test.begin + strings.Repeat(test.repeated, 2*maxEventBytes)))
			assert.ErrorIs(t, err, endpoint.ErrBroken)
			assert.ErrorIs(t, err, errEventTooLong)
		})
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n", uint64(1))
	f.Add(": c\r\rid:2\r\ndata\r\r\n", uint64(2))
	f.Fuzz(func(t *testing.T, text string, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 0))
		checkEvents(t, text, &splitReader{text, random, 1 + random.IntN(100)})
	})
}
