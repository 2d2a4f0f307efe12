package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cowsliphinge/storer"
)

// watchWait is how long the stand-in lets a watch wait.
const watchWait = 25 * time.Second

// Handler serves the store over HTTP: /objects, /watch, /hosts, and /faults to
// replace the faults in force.
func (s *Store) Handler(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/faults":
		s.serveFaults(ctx)
	case path == "/hosts":
		hosts, err := s.Hosts(ctx)
		reply(ctx, hosts, err)
	case path == "/objects":
		query := ctx.QueryArgs()
		limit, _ := strconv.Atoi(string(query.Peek("limit")))
		objects, err := s.List(ctx, string(query.Peek("prefix")), string(query.Peek("after")), limit)
		reply(ctx, objects, err)
	case path == "/watch":
		s.serveWatch(ctx)
	case strings.HasPrefix(path, "/objects/"):
		s.serveObject(ctx, strings.TrimPrefix(path, "/objects/"))
	default:
		ctx.SetStatusCode(http.StatusNotFound)
	}
}

func (s *Store) serveFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Store) serveWatch(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	since, _ := strconv.ParseInt(string(query.Peek("since")), 10, 64)
	bounded, cancel := context.WithTimeout(ctx, watchWait)
	defer cancel()
	objects, err := s.Watch(bounded, string(query.Peek("prefix")), since)
	reply(ctx, objects, err)
}

func (s *Store) serveObject(ctx *fasthttp.RequestCtx, key string) {
	version, _ := strconv.ParseInt(string(ctx.Request.Header.Peek("If-Match")), 10, 64)
	value := append([]byte{}, ctx.PostBody()...)
	var o storer.Object
	var err error
	switch string(ctx.Method()) {
	case http.MethodGet:
		o, err = s.Get(ctx, key)
	case http.MethodPost:
		o, err = s.Create(ctx, key, value)
	case http.MethodPut:
		o, err = s.Update(ctx, key, version, value)
	case http.MethodDelete:
		err = s.Delete(ctx, key, version)
	default:
		ctx.SetStatusCode(http.StatusMethodNotAllowed)
		return
	}
	if err != nil {
		fail(ctx, err)
		return
	}
	ctx.Response.Header.Set(storer.VersionHeader, strconv.FormatInt(o.Version, 10))
	if ctx.IsGet() {
		ctx.SetBody(o.Value)
	}
}

func reply(ctx *fasthttp.RequestCtx, body any, err error) {
	if err != nil {
		fail(ctx, err)
		return
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		fail(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// fail answers with the status that storer.Client maps back to the same error.
func fail(ctx *fasthttp.RequestCtx, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case storer.IsErrNotFound(err):
		status = http.StatusNotFound
	case storer.IsErrConflict(err):
		status = http.StatusConflict
	case storer.IsErrTooLarge(err):
		status = http.StatusRequestEntityTooLarge
	}
	ctx.SetStatusCode(status)
}
