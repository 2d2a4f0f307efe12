package application_test

import (
	"encoding/json"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/application"
	"cowsliphinge/standin/faulter"
)

func TestCountsRunsByKey(t *testing.T) {
	s := application.New(application.Config{Name: "app-1", Clock: clocker.NewManual(0)})
	listener := fasthttputil.NewInmemoryListener()
	go func() { _ = fasthttp.Serve(listener, s.Handler) }()
	defer func() { _ = listener.Close() }()
	c := &fasthttp.Client{
		Dial:                      func(string) (net.Conn, error) { return listener.Dial() },
		MaxIdemponentCallAttempts: 1,
	}
	call := func() (application.Answer, bool, error) {
		req := fasthttp.AcquireRequest()
		resp := fasthttp.AcquireResponse()
		req.SetRequestURI("http://app/orders/7")
		req.Header.SetMethod("POST")
		req.Header.Set("X-Request-Id", "r1")
		req.Header.Set("Idempotency-Key", "k1")
		err := c.Do(req, resp)
		var answer application.Answer
		_ = json.Unmarshal(resp.Body(), &answer)
		return answer, len(resp.Header.Peek("X-Not-Run")) > 0, err
	}
	first, _, err := call()
	assert.NilError(t, err)
	assert.Equal(t, first.Run, 1)
	s.SetFaults(faulter.Faults{LoseAnswers: 1})
	_, _, err = call()
	assert.Assert(t, err != nil)
	assert.Equal(t, s.Runs()["k1"], 2)
	s.SetFaults(faulter.Faults{Refusals: 1, TruncateAnswers: 1})
	_, notRun, err := call()
	assert.NilError(t, err)
	assert.Assert(t, notRun)
	assert.Equal(t, s.Runs()["k1"], 2)
	_, _, err = call()
	assert.Assert(t, err != nil)
	s.SetFaults(faulter.Faults{CrossAnswers: 1})
	crossed, _, err := call()
	assert.NilError(t, err)
	assert.Equal(t, crossed.RequestID, "crossed-r1")
}
