package runner

import (
	"log/slog"

	"cowsliphinge/clocker"
	"cowsliphinge/shedder"
)

// shedPause is the time without a refusal after which a service counts as having room again, in milliseconds.
const shedPause = 5 * clocker.Second

// shedLog logs when the requests of a service begin to be refused because its servers are full, and when that has ended.
type shedLog struct {
	services map[string]*shedPeriod
}

// shedPeriod is a time in which requests of a service are refused.
type shedPeriod struct {
	since, last clocker.Millis
	refused     int
}

// record records the decision about a request.
func (l *shedLog) record(log *slog.Logger, service string, reason shedder.Reason, now clocker.Millis) {
	if reason == shedder.Sent {
		return
	}
	p := l.services[service]
	if p == nil {
		p = &shedPeriod{since: now}
		if l.services == nil {
			l.services = map[string]*shedPeriod{}
		}
		l.services[service] = p
		log.Info("servers of a service are full, requests are refused", "service", service, "shed", reason)
	}
	p.last = now
	p.refused++
}

// expire logs the services of which nothing was refused for shedPause.
func (l *shedLog) expire(log *slog.Logger, now clocker.Millis) {
	for service, p := range l.services {
		if now-p.last >= shedPause {
			delete(l.services, service)
			log.Info("servers of a service have room again", "service", service, "refused", p.refused, "lasted_ms", p.last-p.since)
		}
	}
}
