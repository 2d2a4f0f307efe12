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

const stubRouterKey = "the-key-of-routers"

// methods are the RPC methods of messenger.Exchange.
var methods = []string{"SendBeat", "Transfer", "PullConfiguration", "CopyBills", "TrackStreams", "ShareOrigins"}

// stubRouter handles heartbeats and transfers.
type stubRouter struct{}

// SendBeat implements HeartbeatHandler.
func (stubRouter) SendBeat(_ context.Context, b *messenger.Beat) (*messenger.BeatReply, error) {
	return &messenger.BeatReply{Beat: b}, nil
}

// Transfer implements TransferHandler.
func (stubRouter) Transfer(_ context.Context, q *messenger.TransferRequest) (*messenger.TransferReply, error) {
	return &messenger.TransferReply{From: q.To}, nil
}

// stubRoutes returns the routes of a router on the operators' platform, which handles
// heartbeats and transfers only.
func stubRoutes() http.Handler {
	return NewServer(ServerConfig{RouterKey: stubRouterKey, HeartbeatHandler: stubRouter{}, TransferHandler: stubRouter{}, Ready: func() bool { return true }}).routes()
}

// Guards against: a call without a handler panics instead of being rejected.
func TestUnimplementedCallsAreRefused(t *testing.T) {
	for _, method := range methods {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/twirp/cowsliphinge.Exchange/"+method, nil)
		r.Header.Set("Authorization", "Bearer "+stubRouterKey)
		r.Header.Set("Content-Type", "application/protobuf")
		stubRoutes().ServeHTTP(w, r)
		if method == "SendBeat" || method == "Transfer" {
			assert.Equal(t, w.Code, http.StatusOK, method)
		} else {
			assert.Equal(t, w.Code, http.StatusNotImplemented, method)
		}
	}
}

// FuzzServer sends arbitrary requests to the server. It must not panic, and no call may
// succeed without the router key.
func FuzzServer(f *testing.F) {
	beat, err := proto.Marshal(&messenger.Beat{Host: "a", Incarnation: "a-1-1", Heard: []*messenger.Beat{{}}})
	if err != nil {
		f.Fatal(err)
	}
	for n := range methods {
		for _, content := range []string{"application/protobuf", "application/json", "text/plain", ""} {
			f.Add(n, content, "Bearer "+stubRouterKey, beat)
			f.Add(n, content, "Bearer "+stubRouterKey, []byte(`{"Host":"a","Heard":[null]}`))
		}
	}
	f.Add(0, "application/protobuf", "Bearer ", beat)
	f.Add(0, "application/json; charset", "", []byte{0xff})
	routes := stubRoutes()
	f.Fuzz(func(t *testing.T, method int, content, key string, body []byte) {
		r := httptest.NewRequest(http.MethodPost, "/twirp/cowsliphinge.Exchange/"+methods[uint(method)%uint(len(methods))], bytes.NewReader(body))
		r.Header.Set("Content-Type", content)
		r.Header.Set("Authorization", key)
		w := httptest.NewRecorder()
		routes.ServeHTTP(w, r)
		assert.Assert(t, w.Code != http.StatusOK || key == "Bearer "+stubRouterKey)
	})
}

// fixedReply is a transport that returns the same HTTP response to every request.
type fixedReply struct {
	status  int
	content string
	body    []byte
}

// RoundTrip implements http.RoundTripper.
func (r fixedReply) RoundTrip(q *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: r.status, Header: http.Header{"Content-Type": {r.content}}, Body: io.NopCloser(bytes.NewReader(r.body)), Request: q,
	}, nil
}

// FuzzReplies passes arbitrary HTTP responses to each method of the client, which must
// return either a reply or an error.
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
		c := NewClient(ClientConfig{RouterKey: stubRouterKey})
		c.http = &http.Client{Transport: fixedReply{status, content, body}}
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
		origins, err := c.ShareOrigins(ctx, "a:1", &messenger.OriginRequest{})
		assert.Assert(t, (origins == nil) == (err != nil))
	})
}
