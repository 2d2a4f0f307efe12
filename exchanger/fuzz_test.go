package exchanger

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/messenger"
)

const fuzzKey = "the-key-of-routers"

// methods are the calls that routers make to each other.
var methods = []string{"SendBeat", "Transfer", "PullConfiguration", "CopyBills", "TrackStreams"}

// part answers beats and transfers.
type part struct{}

// SendBeat implements Beater.
func (part) SendBeat(_ context.Context, b *messenger.Beat) (*messenger.BeatReply, error) {
	return &messenger.BeatReply{Beat: b}, nil
}

// Transfer implements Transferrer.
func (part) Transfer(_ context.Context, q *messenger.TransferRequest) (*messenger.TransferReply, error) {
	return &messenger.TransferReply{From: q.To}, nil
}

// fuzzRoutes are those of a router on the operators' platform, which takes beats and
// transfers alone.
func fuzzRoutes() http.Handler {
	return NewServer(ServerConfig{RouterKey: fuzzKey, HeartbeatHandler: part{}, TransferHandler: part{}, Ready: func() bool { return true }}).routes()
}

// Guards against: a call that a router does not take ends in a panic.
func TestCallsThatARouterDoesNotTakeAreRefused(t *testing.T) {
	for _, method := range methods {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/twirp/cowsliphinge.Exchange/"+method, nil)
		r.Header.Set("Authorization", "Bearer "+fuzzKey)
		r.Header.Set("Content-Type", "application/protobuf")
		fuzzRoutes().ServeHTTP(w, r)
		if method == "SendBeat" || method == "Transfer" {
			assert.Equal(t, w.Code, http.StatusOK, method)
		} else {
			assert.Equal(t, w.Code, http.StatusNotImplemented, method)
		}
	}
}

// FuzzServer answers what another router, or somebody else, sent: no panic, and nothing
// is taken without the key.
func FuzzServer(f *testing.F) {
	beat, err := proto.Marshal(&messenger.Beat{Host: "a", Incarnation: "a-1-1", Heard: []*messenger.Beat{{}}})
	if err != nil {
		f.Fatal(err)
	}
	for n := range methods {
		for _, content := range []string{"application/protobuf", "application/json", "text/plain", ""} {
			f.Add(n, content, "Bearer "+fuzzKey, beat)
			f.Add(n, content, "Bearer "+fuzzKey, []byte(`{"Host":"a","Heard":[null]}`))
		}
	}
	f.Add(0, "application/protobuf", "Bearer ", beat)
	f.Add(0, "application/json; charset", "", []byte{0xff})
	routes := fuzzRoutes()
	f.Fuzz(func(t *testing.T, method int, content, key string, body []byte) {
		r := httptest.NewRequest(http.MethodPost, "/twirp/cowsliphinge.Exchange/"+methods[uint(method)%uint(len(methods))], bytes.NewReader(body))
		r.Header.Set("Content-Type", content)
		r.Header.Set("Authorization", key)
		w := httptest.NewRecorder()
		routes.ServeHTTP(w, r)
		assert.Assert(t, w.Code != http.StatusOK || key == "Bearer "+fuzzKey)
	})
}

// replies gives the same answer to every call.
type replies struct {
	status  int
	content string
	body    []byte
}

// RoundTrip implements http.RoundTripper.
func (r replies) RoundTrip(q *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: r.status, Header: http.Header{"Content-Type": {r.content}}, Body: io.NopCloser(bytes.NewReader(r.body)), Request: q,
	}, nil
}

// FuzzReplies reads what another router answered to each kind of call: a reply or an
// error, never neither.
func FuzzReplies(f *testing.F) {
	reply, err := proto.Marshal(&messenger.BeatReply{Beat: &messenger.Beat{Host: "a"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(200, "application/protobuf", reply)
	f.Add(200, "", []byte{0x0a, 0xff, 0xff})
	f.Add(503, "application/json", []byte(`{"code":"unavailable","msg":null,"meta":{"a":1}}`))
	f.Add(302, "", []byte(nil))
	f.Fuzz(func(t *testing.T, status int, content string, body []byte) {
		c := NewClient(ClientConfig{RouterKey: fuzzKey})
		c.http = &http.Client{Transport: replies{status, content, body}}
		ctx := context.Background()
		beat, err := c.SendBeat(ctx, "a:1", &messenger.Beat{})
		assert.Assert(t, (beat == nil) == (err != nil))
		transfer, err := c.Transfer(ctx, "a:1", &messenger.TransferRequest{})
		assert.Assert(t, (transfer == nil) == (err != nil))
		pull, err := c.PullConfiguration(ctx, "a:1", &messenger.PullRequest{})
		assert.Assert(t, (pull == nil) == (err != nil))
		copied, err := c.CopyBills(ctx, "a:1", &messenger.BillBatch{})
		assert.Assert(t, (copied == nil) == (err != nil))
		tracked, err := c.TrackStreams(ctx, "a:1", &messenger.TrackRequest{})
		assert.Assert(t, (tracked == nil) == (err != nil))
	})
}
