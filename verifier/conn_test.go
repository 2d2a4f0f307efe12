package verifier

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"cowsliphinge/standin/responder"
)

// parsers read a final response and its body with each library.
var parsers = map[string]func(r *bufio.Reader) (string, error){
	"net/http": func(r *bufio.Reader) (string, error) {
		for {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return "", err
			}
			if resp.StatusCode >= http.StatusOK {
				body, err := io.ReadAll(resp.Body)
				return string(body), err
			}
		}
	},
	"fasthttp": func(r *bufio.Reader) (string, error) {
		var resp fasthttp.Response
		err := resp.Read(r)
		return string(resp.Body()), err
	},
}

// readVia reads a response that arrives in parts of the given size.
func readVia(parse func(r *bufio.Reader) (string, error), text string, part int) (c *Conn, body string, err error) {
	client, server := net.Pipe()
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(server))
		for i := 0; i < len(text); i += part {
			if _, err := io.WriteString(server, text[i:min(i+part, len(text))]); err != nil {
				break
			}
		}
		_ = server.Close()
	}()
	defer func() { _ = client.Close() }()
	c = NewConn(client)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return c, "", err
	}
	body, err = parse(bufio.NewReader(c))
	return c, body, err
}

func TestBrokenResponsesFailWithEachLibrary(t *testing.T) {
	for library, parse := range parsers {
		for _, shape := range broken() {
			for _, part := range []int{1, 7, len(shape.Text)} {
				c, body, err := readVia(parse, shape.Text, part)
				assert.Assert(t, err != nil, "%s, %s in parts of %d: %q", library, shape.Name, part, body)
				assert.Assert(t, IsErrBrokenResponse(c.broken), "%s, %s in parts of %d: %v", library, shape.Name, part, err)
				_, err = c.Write([]byte("GET "))
				assert.Assert(t, IsErrBrokenResponse(err), "the connection is used again")
			}
		}
	}
}

func TestUnusualResponsesPassWithEachLibrary(t *testing.T) {
	for library, parse := range parsers {
		for _, shape := range responder.Sound("X-Id: 1\r\n") {
			for _, part := range []int{1, 7, len(shape.Text)} {
				c, body, err := readVia(parse, shape.Text, part)
				assert.NilError(t, err, "%s, %s in parts of %d", library, shape.Name, part)
				assert.Equal(t, body, responder.Body, "%s, %s in parts of %d", library, shape.Name, part)
				assert.Assert(t, c.response.ended(), "%s, %s in parts of %d", library, shape.Name, part)
			}
		}
	}
}

// Guards against checks of the encrypted bytes, and against responses over TLS that are not checked.
func TestResponsesOverTLSAreChecked(t *testing.T) {
	text := make(chan string, 1)
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(c, <-text)
			_ = c.Close()
		}
	}))
	defer server.Close()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}
	ConfigureTransport(transport)
	client := fasthttp.Client{TLSConfig: &tls.Config{RootCAs: roots}, ConfigureClient: ConfigureHostClient, MaxIdemponentCallAttempts: 1}
	gets := map[string]func() (string, error){
		"net/http": func() (string, error) {
			resp, err := (&http.Client{Transport: transport}).Get(server.URL)
			if err != nil {
				return "", err
			}
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			transport.CloseIdleConnections() // the server closes each one
			return string(body), err
		},
		"fasthttp": func() (string, error) {
			_, body, err := client.Get(nil, server.URL)
			client.CloseIdleConnections() // the server closes each one
			return string(body), err
		},
	}
	for library, get := range gets {
		for _, shape := range broken() {
			text <- shape.Text
			body, err := get()
			assert.Assert(t, err != nil, "%s, %s: %q", library, shape.Name, body)
		}
		for _, shape := range responder.Sound("X-Id: 1\r\n") {
			text <- shape.Text
			body, err := get()
			assert.NilError(t, err, "%s, %s", library, shape.Name)
			assert.Equal(t, body, responder.Body, "%s, %s", library, shape.Name)
		}
	}
}
