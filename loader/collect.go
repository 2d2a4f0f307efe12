package loader

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"cowsliphinge/checker"
	"cowsliphinge/clocker"
)

// controlTimeout bounds a call to a stand-in, in milliseconds.
const controlTimeout = 5 * clocker.Second

// injectFaults puts the declared faults in force at their times.
func (r *runner) injectFaults(ctx context.Context) error {
	steps := slices.Clone(r.cfg.Plan.Faults)
	slices.SortStableFunc(steps, func(a, b FaultStep) int { return cmp.Compare(a.AtMs, b.AtMs) })
	for _, step := range steps {
		due := r.start.millis + step.AtMs - r.cfg.Clock.Now()
		if due > 0 && r.cfg.Clock.Sleep(ctx, due) != nil {
			return nil
		}
		if _, err := control(http.MethodPut, step.Address, "/faults", step.Faults); err != nil {
			return trace.Wrap(err, "faults of %s", step.Address)
		}
	}
	return nil
}

// control makes one call to a stand-in.
func control(method, address, path string, body []byte) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, controlTimeout.Duration()); err != nil {
		return nil, trace.Wrap(err)
	}
	if resp.StatusCode() != http.StatusOK {
		return nil, trace.BadParameter("%s%s answered %d", address, path, resp.StatusCode())
	}
	return append([]byte(nil), resp.Body()...), nil
}

// collect reads what the backend servers ran and what was billed.
func (r *runner) collect(ctx context.Context) error {
	for _, server := range r.cfg.Plan.BackendServers {
		body, err := control(http.MethodGet, server.Address, "/log", nil)
		if err != nil {
			return trace.Wrap(err, "log of %s", server.Name)
		}
		var runs []checker.Run
		if err := json.Unmarshal(body, &runs); err != nil {
			return trace.Wrap(err, "log of %s", server.Name)
		}
		for _, run := range runs {
			run.Server = server.Name
			r.cfg.Recorder.Record(checker.Entry{Run: &run})
		}
	}
	return r.collectPlatform(ctx)
}
