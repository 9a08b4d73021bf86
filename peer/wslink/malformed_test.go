package wslink

import (
	"context"
	"crypto/sha1"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
)

// webSocketGUID is appended to a client's key to prove that the server understood it (RFC 6455, section 1.3).
const webSocketGUID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"

// Guards against a link over a connection whose upgrade was answered by a malformed head.
func TestMalformedUpgradeIsNoLink(t *testing.T) {
	for name, line := range map[string]string{"sound": "", "blank in a name": "Foo Bar: x\r\n", "blank after a name": "Foo : x\r\n"} {
		t.Run(name, func(t *testing.T) {
			s := responsetest.Respond(t, func(connection *net.TCPConn, request *http.Request) {
				sum := sha1.Sum([]byte(request.Header.Get("Sec-WebSocket-Key") + webSocketGUID))
				_, _ = io.WriteString(connection, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"+line+
					"Sec-WebSocket-Protocol: "+subprotocol+"\r\nSec-WebSocket-Accept: "+base64.StdEncoding.EncodeToString(sum[:])+"\r\n\r\n")
			})
			transport := &Transport{options: Options{MaxFrameBytes: 1 << 10, Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return new(net.Dialer).DialContext(ctx, "tcp4", address)
			}}}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			conn, err := transport.upgrade(ctx, domain.Member{Node: "b", Address: s.Address})
			if line == "" {
				assert.NilError(t, err)
				assert.NilError(t, conn.CloseNow())
				return
			}
			assert.ErrorIs(t, err, httpresponse.ErrMalformed)
		})
	}
}
