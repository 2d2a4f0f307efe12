package runner

import (
	"fmt"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/storer"
)

// beginStreams begins a stream at each host, of two versions in turn.
func (f *originFleet) beginStreams(prefix string) {
	for i, h := range f.hosts {
		h.origins.Began(fmt.Sprint(prefix, i), chooser.Server{Service: "s", Software: fmt.Sprint("v", 1+i%2)})
	}
}

// checkStreams checks that the hosts know the origins of what beginStreams began at n hosts.
func (f *originFleet) checkStreams(t *testing.T, prefix string, n int) {
	t.Helper()
	for i := range n {
		h := f.hosts[i%len(f.hosts)]
		software, known := h.origins.Origin(t.Context(), fmt.Sprint(prefix, i), "s")
		assert.Check(t, known, "stream %s%d at %s", prefix, i, h.name)
		assert.Check(t, software == "" || software == fmt.Sprint("v", 1+i%2), "stream %s%d at %s: %s", prefix, i, h.name, software)
	}
}

// Guards against callers that can't take up any stream after the death of all hosts while two software
// versions are in use: what began was kept by hosts alone. At 1, 8 and 195 hosts, with a bounded number of writes.
func TestStreamsCanBeTakenUpAfterTheDeathOfAllHosts(t *testing.T) {
	for _, hosts := range []int{1, 8, 195} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newOriginFleet(hosts)
				f.know("v1", "v2")
				f.sleep(clocker.Second)
				f.store.takeWrites()
				for i := range 6 {
					f.beginStreams(fmt.Sprint("early", i, "-"))
					f.sleep(clocker.Second)
					f.know("v1", "v2")
				}
				f.sleep(6 * clocker.Second)
				writes := f.store.takeWrites()
				assert.Check(t, writes <= 48, "%d writes in 12 s", writes)
				f.replaceAll(hosts)
				defer f.stop()
				f.know("v1", "v2")
				f.sleep(clocker.Second)
				f.checkStreams(t, "early5-", hosts)
				f.checkStreams(t, "early0-", hosts)
				_, known := f.hosts[0].origins.Origin(t.Context(), "never seen", "s")
				assert.Check(t, !known)
			})
		})
	}
}

// Guards against origins that are lost where hosts don't agree on the one that archives, or the store was away.
func TestStreamsAreArchivedByHostsThatDoNotSeeEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newOriginFleet(4)
		f.know("v1", "v2")
		f.sleep(clocker.Second)
		for _, h := range f.hosts {
			h.alone.Store(true)
		}
		f.beginStreams("a")
		f.sleep(3 * clocker.Second)
		f.store.setDown(true)
		f.beginStreams("b")
		f.sleep(3 * clocker.Second)
		f.store.setDown(false)
		f.know("v1", "v2")
		f.beginStreams("c")
		f.sleep(10 * clocker.Second)
		f.replaceAll(4)
		defer f.stop()
		f.know("v1", "v2")
		f.sleep(clocker.Second)
		for _, prefix := range []string{"a", "b", "c"} {
			f.checkStreams(t, prefix, 4)
		}
	})
}

// Guards against an object of the archive that can't be decoded hiding the others, or never being replaced.
func TestUnusablePageOfTheArchiveCostsItselfAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newOriginFleet(2)
		f.know("v1", "v2")
		f.sleep(clocker.Second)
		f.beginStreams("a")
		f.sleep(3 * clocker.Second)
		f.store.mu.Lock()
		for page := 1; page < 8; page++ {
			f.store.objects[archiveKey(page)] = storer.Object{Key: archiveKey(page), Version: 1, Value: []byte{0xff}}
		}
		f.store.mu.Unlock()
		f.replaceAll(2)
		f.know("v1", "v2")
		f.sleep(clocker.Second)
		f.checkStreams(t, "a", 2)
		f.beginStreams("b")
		f.sleep(3 * clocker.Second)
		f.replaceAll(2)
		defer f.stop()
		f.know("v1", "v2")
		f.sleep(clocker.Second)
		f.checkStreams(t, "a", 2)
		f.checkStreams(t, "b", 2)
	})
}
