package main

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
	"syscall"
	"time"
)

var placeholder = regexp.MustCompile(`\{\{([a-z_0-9.]+)(\|json)?\}\}`)

// render fills in a template of the deploy file as DEPLOY.md has it. It knows the two placeholders that deploy/settings.json
// uses.
func render(template string, values map[string]any) (string, error) {
	var missing error
	out := placeholder.ReplaceAllStringFunc(template, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value, known := values[parts[1]]
		if !known {
			missing = fmt.Errorf("the template asks for %s", parts[1])
		}
		text, err := json.Marshal(value)
		if err != nil {
			missing = err
		}
		if parts[2] == "" {
			return strings.Trim(string(text), `"`)
		}
		return string(text)
	})
	return out, missing
}

// renderSettings writes the settings file of a host from deploy/settings.json, with the figures of the site.
func (r *router) renderSettings(graceSeconds float64) error {
	template, err := os.ReadFile("deploy/settings.json")
	if err != nil {
		return err
	}
	ip, port, _ := strings.Cut(r.exchange, ":")
	content, err := render(string(template), map[string]any{
		"node": r.host, "zone": r.zone, "ip": ip, "internal_port_range.0": json.Number(port), "listen.front": r.caller, "listen.ready": r.ready,
		"platform.address": r.world.store.address, "limits.memory_mb": 284, "limits.max_fds": 4100, "limits.link_mbps": json.Number("1000.0"),
		"limits.cpu_share": 0.4, "limits.cores": 1, "bounds.grace_s": graceSeconds, "bounds.config_apply_ms": configMs, "bounds.drain_ms": drainMs,
		"bounds.stability_window_ms": 3000, "bounds.retry_budget_ratio": 0.2, "bounds.retry_budget_extra": 56, "bounds.budget_window_s": 10,
	})
	if err != nil {
		return err
	}
	r.world.record.line("the platform places the settings of host %s: %s", r.host, strings.Join(strings.Fields(content), " "))
	return os.WriteFile(r.file, []byte(content), 0o600)
}

// playFraction changes the settings of a host that runs, and starts it again.
func playFraction(w *world) (verdict, error) {
	const starts = 3
	b := &backend{id: "i-app-0", service: "app", zone: "oslo-a"}
	if err := w.startBackend(b); err != nil {
		return failed, err
	}
	host, err := w.startHost() // with settings from the harness
	if err != nil {
		return failed, err
	}
	grace := 8.0
	if w.trouble {
		grace = 7.5
	}
	if err := host.renderSettings(grace); err != nil {
		return failed, err
	}
	w.hangUp(host)
	sleep(time.Second)
	w.record.line("host %s gets SIGTERM", host.host)
	host.signal(syscall.SIGTERM)
	host.wait()
	down := 0
	for range starts {
		if err := host.start(); err != nil {
			return failed, err
		}
		if err := awaitReady(10*time.Second, host); err != nil {
			down++
			w.record.line("host %s is not ready 10 s after its start", host.host)
		} else {
			w.record.line("host %s is ready", host.host)
		}
		host.signal(syscall.SIGKILL)
		host.wait()
	}
	if log, err := os.ReadFile(host.log()); err == nil {
		for _, line := range strings.Split(string(log), "\n") {
			if strings.HasPrefix(line, "settings:") {
				w.record.line("output of host %s: %s", host.host, strings.ReplaceAll(line, w.folder, "FOLDER"))
			}
		}
	}
	return w.verdictOf(down, starts, "starts of the process ended without a host that is ready"), nil
}
