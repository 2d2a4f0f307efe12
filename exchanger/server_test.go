package exchanger_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/exchanger"
	"cowsliphinge/messenger"
)

const (
	operatorKey = "the-key-of-operators"
	routerKey   = "the-key-of-routers"
)

// stubServices implements the services that the tests call.
type stubServices struct {
	messenger.Commander
	messenger.Querier
}

// SendBeat implements exchanger.HeartbeatHandler.
func (stubServices) SendBeat(context.Context, *messenger.Beat) (*messenger.BeatReply, error) {
	return &messenger.BeatReply{Beat: &messenger.Beat{Host: "answered"}}, nil
}

// TopUp implements messenger.Commander.
func (stubServices) TopUp(context.Context, *messenger.TopUpRequest) (*messenger.TopUpReply, error) {
	return &messenger.TopUpReply{Granted: 7}, nil
}

func serve(t *testing.T) string {
	t.Helper()
	return serveWithMemory(t, 0)
}

// serveWithMemory starts a server of a process with a memory limit in MB; 0 means none.
func serveWithMemory(t *testing.T, memoryMb int64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := exchanger.NewServer(exchanger.ServerConfig{
		OperatorKey: operatorKey, RouterKey: routerKey,
		HeartbeatHandler: stubServices{}, Commander: stubServices{}, Querier: stubServices{},
		Ready: func() bool { return false }, MemoryMb: memoryMb,
	})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func TestEachKeyGrantsOnlyItsOwnServices(t *testing.T) {
	address := serve(t)
	ctx := context.Background()
	for _, c := range []struct {
		key              string
		beats, commander bool
	}{
		{operatorKey, false, true},
		{routerKey, true, false},
		{"a wrong key", false, false},
		{"", false, false},
	} {
		_, err := exchanger.NewClient(exchanger.ClientConfig{RouterKey: c.key}).SendBeat(ctx, address, &messenger.Beat{})
		assert.Equal(t, err == nil, c.beats, "heartbeat with key %q: %v", c.key, err)
		commander := messenger.NewCommanderProtobufClient("http://"+address, exchanger.NewHTTPClient(c.key, nil))
		_, err = commander.TopUp(ctx, &messenger.TopUpRequest{})
		assert.Equal(t, err == nil, c.commander, "command with key %q: %v", c.key, err)
	}
}

func TestReadinessAndMetricsNeedNoKey(t *testing.T) {
	address := serve(t)
	for path, want := range map[string]int{"/healthz": 200, "/readyz": 503, "/metrics": 200} {
		resp, err := http.Get("http://" + address + path)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, want, path)
	}
}

func TestUnreachableAddressIsNotCalled(t *testing.T) {
	address := serve(t)
	client := exchanger.NewClient(exchanger.ClientConfig{RouterKey: routerKey, MayCall: func(string) bool { return false }})
	_, err := client.SendBeat(context.Background(), address, &messenger.Beat{})
	assert.Assert(t, err != nil && !errors.Is(err, context.DeadlineExceeded))
}
