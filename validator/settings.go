package validator

import (
	"net/url"

	"cowsliphinge/messenger"
)

const (
	// minKey is the least length of an operator or router key, in bytes.
	minKey = 16
	// maxBody bounds the setting of a request's body, in bytes.
	maxBody = 64 << 20
	// maxOpen bounds the setting of open connections.
	maxOpen = 1 << 20
	// maxMemory bounds the setting of a process's memory, in MB.
	maxMemory = 1 << 20
	// minMemory is the least memory limit of a process, in MB. An idle process takes 26 MB.
	minMemory = 64
	// defaultBody is the default of MaxBodyBytes, in bytes.
	defaultBody = 1 << 20
	// bodiesInMemory is the part of the memory limit that one body may be, so that a single one always fits: it
	// is held up to seven times while it is parsed and sent on, and requests may take a quarter of the memory.
	bodiesInMemory = 32
)

// Settings returns everything that is wrong with the settings of a process.
func Settings(file string, s *messenger.Settings) []*messenger.Finding {
	c := &checker{file: file, addresses: map[string]string{}}
	c.name("$.Host", s.Host)
	c.name("$.AvailabilityZone", s.AvailabilityZone)
	c.address("$.CallerAddress", s.CallerAddress)
	c.address("$.ExchangeAddress", s.ExchangeAddress)
	c.url("$.PlatformUrl", s.PlatformUrl, true)
	c.url("$.HostListUrl", s.HostListUrl, false)
	c.key("$.OperatorKey", s.OperatorKey)
	c.key("$.RouterKey", s.RouterKey)
	if s.OperatorKey != "" && s.OperatorKey == s.RouterKey {
		c.add("$.RouterKey", "must differ from $.OperatorKey")
	}
	c.oneOf("$.LogFormat", s.LogFormat, "Text", "Json")
	c.oneOf("$.LogLevel", s.LogLevel, "Debug", "Info", "Warn", "Error")
	c.bounds("$.MaxBodyBytes", s.MaxBodyBytes, 0, maxBody)
	c.bounds("$.MaxConnections", s.MaxConnections, 0, maxOpen)
	c.memory(s)
	c.tlsFiles("$.CallerTls", s.CallerTls)
	c.tlsFiles("$.ExchangeTls", s.ExchangeTls)
	return c.findings
}

func (c *checker) memory(s *messenger.Settings) {
	if s.MemoryMb == 0 {
		return
	}
	c.bounds("$.MemoryMb", s.MemoryMb, minMemory, maxMemory)
	body := s.MaxBodyBytes
	if body == 0 {
		body = defaultBody
	}
	if s.MemoryMb >= minMemory && body > s.MemoryMb<<20/bodiesInMemory {
		c.add("$.MaxBodyBytes", "must not be above 1/%d of MemoryMb", bodiesInMemory)
	}
}

func (c *checker) url(path, value string, required bool) {
	if value == "" && !required {
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add(path, "must be an http or https URL")
	}
}

func (c *checker) key(path, value string) {
	if len(value) < minKey {
		c.add(path, "must have at least %d bytes", minKey)
	}
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	if value == "" {
		return
	}
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	c.add(path, "must be one of %v", allowed)
}

func (c *checker) tlsFiles(path string, files *messenger.TlsFiles) {
	if files == nil {
		return
	}
	if (files.CertificateFile == "") != (files.KeyFile == "") {
		c.add(path, "must name both CertificateFile and KeyFile, or neither")
	}
}
