package main

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// router is one process of the project.
type router struct {
	host     string
	settings map[string]any
	file     string
	program  string
	folder   string
	process  *exec.Cmd
}

// newRouter returns a router that does not run yet. Its settings are those that the template of the
// deploy file renders for a small deployment.
func newRouter(program, folder, host, zone, storeAddress string) *router {
	ports := freePorts(3)
	r := &router{host: host, program: program, folder: folder, file: filepath.Join(folder, host+".json"), settings: map[string]any{
		"Host": host, "AvailabilityZone": zone, "CallerAddress": ports[0], "ReadyAddress": ports[1], "ExchangeAddress": ports[2],
		"StoreAddress": storeAddress, "RouterKey": "cowsliphinge-between-hosts", "MemoryMb": 284, "LinkMbps": 1000.0, "StopBoundMs": 8000,
		"ConfigurationMs": 2000, "LeaveMs": 2000, "SteadyMs": 3000, "RetryRatio": 0.2, "RetryExtra": 58, "RetryWindowMs": 10000, "LogLevel": "Info",
	}}
	content, err := json.Marshal(r.settings)
	if err != nil {
		fatal("%v", err)
	}
	if err := os.WriteFile(r.file, content, 0o600); err != nil {
		fatal("%v", err)
	}
	processesMu.Lock()
	processes = append(processes, r)
	processesMu.Unlock()
	return r
}

func (r *router) callers() string { return r.settings["CallerAddress"].(string) }

// start starts the process with the command of the deploy file.
func (r *router) start() {
	log, err := os.OpenFile(filepath.Join(r.folder, r.host+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("%v", err)
	}
	defer func() { _ = log.Close() }() // the process has its own
	r.process = exec.Command(r.program, "route")
	r.process.Env = []string{"COWSLIPHINGE_NODE_FILE=" + r.file, "PATH=" + os.Getenv("PATH"), "HOME=" + r.folder}
	r.process.Stdout, r.process.Stderr = log, log
	if err := r.process.Start(); err != nil {
		fatal("start of a router: %v", err)
	}
}

// kill ends the process at once, as a loss of the process does, and waits for its end.
func (r *router) kill() {
	if r.process == nil {
		return
	}
	_ = r.process.Process.Kill() // it may have ended
	_ = r.process.Wait()         // a killed process has a bad status
	r.process = nil
}

// awaitReady waits until the router says that it takes callers.
func (r *router) awaitReady() {
	for range 200 {
		resp, err := http.Get("http://" + r.settings["ReadyAddress"].(string) + "/v1/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		sleep(50 * time.Millisecond)
	}
	fatal("%s is not ready within 10 s", r.host)
}

// freePorts returns loopback addresses on which nothing listens now.
func freePorts(n int) []string {
	var addresses []string
	for range n {
		l := listen()
		defer func(l net.Listener) { _ = l.Close() }(l)
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}
