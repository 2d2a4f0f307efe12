package router_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/router"
	"cowsliphinge/standin/platform"
)

// serveHandler serves a handler on a free port and returns the address.
func serveHandler(b *testing.B, handler fasthttp.RequestHandler) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Shutdown() })
	return l.Addr().String()
}

// echoRequestID answers immediately with the ID of the request.
func echoRequestID(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.SetBytesV("X-Request-Id", ctx.Request.Header.Peek("X-Request-Id"))
	ctx.SetBodyString("ok")
}

// eventsPerStream is the number of events in one stream of the benchmark engine.
const eventsPerStream = 1000

// streamEvents streams events without delay.
func streamEvents(ctx *fasthttp.RequestCtx) {
	echoRequestID(ctx)
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for i := 1; i < eventsPerStream; i++ {
			fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n", i)
		}
		fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", eventsPerStream, eventsPerStream-1)
	})
}

// startTwoRouters starts two routers in one availability zone with two backend
// servers and returns the caller address of the first router.
func startTwoRouters(b *testing.B, app, engine string) string {
	b.Helper()
	d := declarations()
	d.Services[1].Idempotent = true
	d.Services[0].MaxOutputTokens = 2000
	d.Policy.PlatformCallsPerSecond = 1000
	d.BackendServers = []*messenger.BackendServer{
		{Name: "e", Address: engine, AvailabilityZone: "a", Service: "drafts", Models: []string{"draft-1"}, Slots: 256},
		{Name: "o", Address: app, AvailabilityZone: "a", Service: "orders", Slots: 256},
	}
	d.Hosts = nil
	store := serveHandler(b, platform.New(clocker.NewWall()).Handler)
	first, second := openHost(b, d, "host-a"), openHost(b, d, "host-b")
	r := first.start(b, store, d)
	second.start(b, store, d)
	_, err := r.Commander().Apply(context.Background(), &messenger.ApplyRequest{OperationId: "bench", Declarations: d})
	assert.NilError(b, err)
	_, err = r.Commander().TopUp(context.Background(), &messenger.TopUpRequest{OperationId: "bench", Budget: "mason", Tokens: 1 << 50})
	assert.NilError(b, err)
	return first.callers.Addr().String()
}

// benchHost is a host whose listeners are open.
type benchHost struct {
	name              string
	callers, exchange net.Listener
}

func openHost(b *testing.B, d *messenger.Declarations, name string) benchHost {
	b.Helper()
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	exchange, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	d.Hosts = append(d.Hosts, &messenger.Host{Name: name, AvailabilityZone: "a", CallerAddress: callers.Addr().String(), ExchangeAddress: exchange.Addr().String()})
	return benchHost{name: name, callers: callers, exchange: exchange}
}

func (h benchHost) start(b *testing.B, store string, d *messenger.Declarations) *router.Router {
	b.Helper()
	settings := &messenger.Settings{
		Host: h.name, AvailabilityZone: "a", PlatformUrl: "http://" + store,
		CallerAddress: h.callers.Addr().String(), ExchangeAddress: h.exchange.Addr().String(),
		OperatorKey: "operator-key-operator-key", RouterKey: "router-key-router-key",
	}
	for _, other := range d.Hosts {
		settings.Peers = append(settings.Peers, other.ExchangeAddress)
	}
	r, err := router.New(context.Background(), router.Config{
		Settings: settings, Clock: clocker.NewWall(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		CallerListener: h.callers, ExchangeListener: h.exchange,
	})
	assert.NilError(b, err)
	b.Cleanup(func() { _ = r.Kill() })
	return r
}

// startProxy starts a minimal proxy, the baseline for the router, and returns
// its address.
func startProxy(b *testing.B, backend string) string {
	b.Helper()
	client := &fasthttp.HostClient{Addr: backend, MaxConns: 4096}
	return serveHandler(b, func(ctx *fasthttp.RequestCtx) {
		ctx.Request.SetHost(backend)
		_ = client.Do(&ctx.Request, &ctx.Response)
	})
}

func sendRequest(b *testing.B, client *fasthttp.HostClient, address, path, body string) int {
	b.Helper()
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod("POST")
	request.Header.Set("Authorization", "Bearer "+masonKey)
	request.Header.Set("X-Request-Id", "bench")
	request.SetBodyString(body)
	assert.NilError(b, client.Do(request, response))
	if response.StatusCode() != 200 {
		b.Fatalf("status %d: %s", response.StatusCode(), response.Body())
	}
	return len(response.Body())
}

// BenchmarkApplicationCall compares the latency of direct calls, the minimal
// proxy and the router, with one call at a time.
func BenchmarkApplicationCall(b *testing.B) {
	backend := serveHandler(b, echoRequestID)
	for _, target := range []struct{ name, address string }{
		{"Direct", backend},
		{"PassThrough", startProxy(b, backend)},
		{"Router", startTwoRouters(b, backend, serveHandler(b, streamEvents))},
	} {
		b.Run(target.name, func(b *testing.B) {
			client := &fasthttp.HostClient{Addr: target.address}
			var latencies []time.Duration
			for b.Loop() {
				start := time.Now()
				sendRequest(b, client, target.address, "/orders/look", "")
				latencies = append(latencies, time.Since(start))
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
		})
	}
}

// BenchmarkThroughput compares the throughput of 250 concurrent callers.
func BenchmarkThroughput(b *testing.B) {
	backend := serveHandler(b, echoRequestID)
	for _, target := range []struct{ name, address string }{
		{"Direct", backend},
		{"PassThrough", startProxy(b, backend)},
		{"Router", startTwoRouters(b, backend, serveHandler(b, streamEvents))},
	} {
		b.Run(target.name, func(b *testing.B) {
			client := &fasthttp.HostClient{Addr: target.address, MaxConns: 1024}
			b.SetParallelism(25)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					sendRequest(b, client, target.address, "/orders/look", "")
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}

// BenchmarkStream measures the event rate of streams through the router.
func BenchmarkStream(b *testing.B) {
	engine := serveHandler(b, streamEvents)
	address := startTwoRouters(b, serveHandler(b, echoRequestID), engine)
	body := `{"model":"draft-1","max_tokens":1500,"stream":true,"messages":[{"role":"user","content":"x"}]}`
	client := &fasthttp.HostClient{Addr: address, MaxConns: 256}
	b.ReportAllocs()
	for b.Loop() {
		sendRequest(b, client, address, "/v1/chat/completions", body)
	}
	b.ReportMetric(float64(b.N*eventsPerStream)/b.Elapsed().Seconds(), "events/s")
}
