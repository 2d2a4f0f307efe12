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

// milliPerCore is the capacity of one core in thousandths.
const milliPerCore = 1000

// Settings is the content of the settings file of one process on the operators'
// platform. The field names are the keys of the file.
type Settings struct {
	Host             string
	AvailabilityZone string
	// CallerAddress is the listen address for callers, IP and port.
	CallerAddress string
	// ReadyAddress is the listen address for the readiness probes of the platform's
	// balancer.
	ReadyAddress string
	// ExchangeAddress is the address for other hosts; it also serves /metrics.
	ExchangeAddress string
	// ExchangeListenAddress is the listen address for other hosts where that is not ExchangeAddress, for example
	// behind a forwarded port; empty means ExchangeAddress.
	ExchangeListenAddress string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// RouterKey authenticates hosts to each other.
	RouterKey string
	// MemoryMb is the memory limit of the process.
	MemoryMb int64
	// MaxDescriptors is the limit of open descriptors of the process; 0 means that of the system.
	MaxDescriptors int64
	// CallerStallMs is how long a response may make no progress because its caller does not read; 0 means
	// defaultCallerStall.
	CallerStallMs clocker.Millis
	// RefusesWhenFull makes the host refuse requests that no backend server can start before their deadline.
	RefusesWhenFull bool
	// LinkMbps is the bandwidth of the link of this host in each direction.
	LinkMbps float64
	// ProcessorShare is the share of a core that the process may use, and ProcessorSpeed how many times as fast as the
	// fleet's unit that core is. Hosts with a large product of both hold the budgets; 0 means unknown.
	ProcessorShare float64
	ProcessorSpeed float64
	// StopBoundMs is the time limit of a graceful stop.
	StopBoundMs clocker.Millis
	// ConfigurationMs is the time within which an accepted configuration must be in
	// force.
	ConfigurationMs clocker.Millis
	// LeaveMs is the time after which a leaving backend server must get no new requests.
	LeaveMs clocker.Millis
	// SteadyMs is the time after a disruption from which the limits apply again. A
	// watch on a connection that no longer responds has to end within it.
	SteadyMs clocker.Millis
	// RetryRatio, RetryExtra and RetryWindowMs bound the retries of the fleet.
	RetryRatio    float64
	RetryExtra    float64
	RetryWindowMs clocker.Millis
	// LogLevel is Debug, Info, Warn or Error; empty means Info.
	LogLevel string
}

// ReadSettings reads a settings file. Unknown keys are ignored, because the platform
// may add new ones. The error lists all findings.
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

// validate returns a finding for each invalid setting, with its key.
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
	if s.ExchangeListenAddress != "" {
		addresses["ExchangeListenAddress"] = s.ExchangeListenAddress
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
	for key, value := range map[string]float64{"ProcessorShare": s.ProcessorShare, "ProcessorSpeed": s.ProcessorSpeed} {
		if value < 0 {
			findings = append(findings, fmt.Sprintf("%s is %v, a negative capacity", key, value))
		}
	}
	for key, value := range map[string]int64{"MemoryMb": s.MemoryMb, "MaxDescriptors": s.MaxDescriptors, "CallerStallMs": int64(s.CallerStallMs)} {
		if value < 0 {
			findings = append(findings, fmt.Sprintf("%s is %d, less than 0", key, value))
		}
	}
	if s.LinkMbps <= 0 {
		findings = append(findings, fmt.Sprintf("LinkMbps is %v, not a positive rate", s.LinkMbps))
	}
	slices.Sort(findings)
	return findings
}

// exchangeListenAddress returns the listen address for other hosts.
func (s Settings) exchangeListenAddress() string {
	if s.ExchangeListenAddress != "" {
		return s.ExchangeListenAddress
	}
	return s.ExchangeAddress
}

// capacityMilli returns the processor capacity of the machine in thousandths of a core, 0 if unknown.
func (s Settings) capacityMilli() int64 {
	return int64(milliPerCore * s.ProcessorShare * s.ProcessorSpeed)
}

// level is the log level shared by all loggers of the process. A reload changes it.
var level slog.LevelVar

// ApplyLogLevel sets the log level of the process to that of the settings and returns it.
func ApplyLogLevel(s Settings) slog.Leveler {
	level.Set(slog.LevelInfo)
	if s.LogLevel != "" {
		_ = level.UnmarshalText([]byte(s.LogLevel)) // validated when the file was read
	}
	return &level
}

// Reload applies RetryRatio, RetryExtra, StopBoundMs and LogLevel. Changes of other
// settings need a restart. The log line reports that, except for ConfigurationMs,
// LeaveMs, SteadyMs and RetryWindowMs, which restart_needed does not cover.
func (r *Runner) Reload(s Settings) {
	old := r.settings.Swap(&s)
	ApplyLogLevel(s)
	restartNeeded := old.Host != s.Host || old.AvailabilityZone != s.AvailabilityZone || old.CallerAddress != s.CallerAddress ||
		old.ReadyAddress != s.ReadyAddress || old.ExchangeAddress != s.ExchangeAddress || old.exchangeListenAddress() != s.exchangeListenAddress() || old.StoreAddress != s.StoreAddress ||
		old.RouterKey != s.RouterKey || old.MemoryMb != s.MemoryMb || old.MaxDescriptors != s.MaxDescriptors || old.CallerStallMs != s.CallerStallMs ||
		old.LinkMbps != s.LinkMbps || old.RefusesWhenFull != s.RefusesWhenFull || old.capacityMilli() != s.capacityMilli()
	r.cfg.Log.Info("settings reloaded", "changed", *old != s, "restart_needed", restartNeeded)
}
