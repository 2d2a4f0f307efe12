package runner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strings"

	"cowsliphinge/clocker"
)

// Settings is the file that one process on the operators' platform starts from.
type Settings struct {
	Host             string
	AvailabilityZone string
	// CallerAddress is where callers arrive, IP and port.
	CallerAddress string
	// ReadyAddress is where the platform's balancer asks whether this host takes
	// callers.
	ReadyAddress string
	// ExchangeAddress is where other hosts arrive; also /metrics.
	ExchangeAddress string
	// StoreAddress is the platform's store.
	StoreAddress string
	// RouterKey is presented between hosts.
	RouterKey string
	// MemoryMb is the most memory that the process may take.
	MemoryMb int64
	// LinkMbps is what the link of this host carries in each direction.
	LinkMbps float64
	// StopBoundMs is the longest graceful stop.
	StopBoundMs clocker.Millis
	// ConfigurationMs is in what time an accepted configuration is in force.
	ConfigurationMs clocker.Millis
	// LeaveMs is in what time a backend server that leaves gets no new work.
	LeaveMs clocker.Millis
	// SteadyMs is how long after a disruption bounds hold again: a watch on a
	// connection gone silent has to end within it.
	SteadyMs clocker.Millis
	// RetryRatio, RetryExtra and RetryWindowMs bound repeats over the fleet.
	RetryRatio    float64
	RetryExtra    float64
	RetryWindowMs clocker.Millis
	// LogLevel is Debug, Info, Warn or Error; empty means Info.
	LogLevel string
}

// ReadSettings reads a settings file. Keys that it does not know are ignored:
// the platform may send new ones. The error lists all findings.
func ReadSettings(name string) (Settings, error) {
	var s Settings
	content, err := os.ReadFile(name)
	if err != nil {
		return s, err
	}
	if err := json.NewDecoder(bytes.NewReader(content)).Decode(&s); err != nil {
		return s, fmt.Errorf("%s: %w", name, err)
	}
	if findings := s.validate(); len(findings) > 0 {
		return s, fmt.Errorf("%s: %s", name, strings.Join(findings, "; "))
	}
	return s, nil
}

// check returns what is wrong with the settings, each finding with its key.
func (s Settings) validate() []string {
	var findings []string
	for key, value := range map[string]string{"Host": s.Host, "AvailabilityZone": s.AvailabilityZone, "RouterKey": s.RouterKey} {
		if value == "" {
			findings = append(findings, key+" is missing")
		}
	}
	addresses := map[string]string{
		"CallerAddress":   s.CallerAddress,
		"ReadyAddress":    s.ReadyAddress,
		"ExchangeAddress": s.ExchangeAddress,
		"StoreAddress":    s.StoreAddress,
	}
	for key, value := range addresses {
		if _, _, err := net.SplitHostPort(value); err != nil {
			findings = append(findings, fmt.Sprintf("%s is %q, not an IP address and port", key, value))
		}
	}
	if s.LogLevel != "" {
		var level slog.Level
		if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
			findings = append(findings, fmt.Sprintf("LogLevel is %q: %v", s.LogLevel, err))
		}
	}
	for key, value := range map[string]clocker.Millis{"StopBoundMs": s.StopBoundMs, "ConfigurationMs": s.ConfigurationMs, "LeaveMs": s.LeaveMs, "SteadyMs": s.SteadyMs, "RetryWindowMs": s.RetryWindowMs} {
		if value <= 0 {
			findings = append(findings, fmt.Sprintf("%s is %d, not a positive time", key, value))
		}
	}
	if s.LinkMbps <= 0 {
		findings = append(findings, fmt.Sprintf("LinkMbps is %v, not a positive rate", s.LinkMbps))
	}
	slices.Sort(findings)
	return findings
}

// level is the one of all loggers of the process; a reload changes it.
var level slog.LevelVar

// Level returns the level of log lines, set to that of the settings.
func LogLevel(s Settings) slog.Leveler {
	level.Set(slog.LevelInfo)
	if s.LogLevel != "" {
		_ = level.UnmarshalText([]byte(s.LogLevel)) // checked when the file was read
	}
	return &level
}

// Reload takes over settings that may change while the process runs: the bounds
// of repeats, of the stop, and the log level. Others need a restart, and a log
// line says so.
func (r *Runner) Reload(s Settings) {
	old := r.settings.Swap(&s)
	LogLevel(s)
	restartNeeded := old.Host != s.Host || old.AvailabilityZone != s.AvailabilityZone || old.CallerAddress != s.CallerAddress ||
		old.ReadyAddress != s.ReadyAddress || old.ExchangeAddress != s.ExchangeAddress || old.StoreAddress != s.StoreAddress ||
		old.RouterKey != s.RouterKey || old.MemoryMb != s.MemoryMb || old.LinkMbps != s.LinkMbps
	r.cfg.Log.Info("settings reloaded", "changed", *old != s, "restart_needed", restartNeeded)
}
