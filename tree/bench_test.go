package tree

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
)

func fill(m *StateMachine, paths, rewrites int) {
	for i := range paths {
		m.ApplyChange(1, set(fmt.Sprint("c", i), benchPath(i), `{"weight":1}`, AnyVersion))
	}
	for i := range rewrites {
		m.ApplyChange(1, set(fmt.Sprint("r", i), benchPath(i%paths), `{"weight":2}`, AnyVersion))
	}
}

func benchPath(i int) string { return fmt.Sprintf("/teams/team-%03d/setting-%d", i%600, i) }

// BenchmarkDifference measures differences of several sizes, each with several
// numbers of earlier changes.
func BenchmarkDifference(b *testing.B) {
	for _, history := range []int{1_000, 10_000, 100_000} {
		m := New()
		fill(m, 10_000, history)
		for _, size := range []int64{1, 10, 100, 500} {
			b.Run(fmt.Sprintf("history=%d/size=%d", history, size), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if d := m.Difference(m.Revision() - size); int64(len(d.Entries)) != size {
						b.Fatal(len(d.Entries))
					}
				}
			})
		}
	}
}

// BenchmarkApply measures changes of one path in trees of several sizes.
func BenchmarkApply(b *testing.B) {
	for _, paths := range []int{1_000, 100_000} {
		m := New()
		fill(m, paths, 0)
		b.Run(fmt.Sprintf("paths=%d", paths), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m.ApplyChange(2, set(fmt.Sprint("b", i), benchPath(i*7919%paths), `{"weight":3}`, AnyVersion))
			}
		})
	}
}

// BenchmarkSnapshot measures writing a snapshot of 10,000 paths with the maximum
// number of recorded change ids, and reports its size and the heap of the state.
func BenchmarkSnapshot(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := New()
	fill(m, 10_000, 40_000)
	runtime.GC()
	runtime.ReadMemStats(&after)
	var snapshot bytes.Buffer
	for b.Loop() {
		snapshot.Reset()
		if err := m.Snapshot(&snapshot); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(snapshot.Len()), "bytes")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
}
