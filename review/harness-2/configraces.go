package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// raceRoutes is the number of routes of the configurations.
	raceRoutes = 10000
	// racers is the number of operators that send at the same time, or one after the other.
	racers = 2
	// raceRounds bounds the changes of the day: hundreds.
	raceRounds = 500
)

// configRaces sends configurations, several at once or one after the other, and
// watches the memory of the control hosts.
func configRaces(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	version, acknowledged, unclear := 1, 0, 0
	started := time.Now()
	var mu sync.Mutex
	put := func(v int) {
		attempt, cancel := context.WithTimeout(ctx, 8*time.Second)
		defer cancel()
		err := d.configure(attempt, configuration(v, raceRoutes, "route-of-a-tenant-"))
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			unclear++
			return
		}
		acknowledged++
	}
	for round := 0; round < raceRounds && ctx.Err() == nil && time.Since(d.started) < 85*time.Second && d.ended("control", 3) < 2; round++ {
		versions := make([]int, racers)
		for i := range versions {
			version += 1 + rand.IntN(3)
			versions[i] = version
		}
		if !trouble {
			for _, v := range versions {
				put(v)
			}
			continue
		}
		var wait sync.WaitGroup
		for _, v := range versions {
			wait.Go(func() { put(v) })
		}
		wait.Wait()
	}
	d.record.printf("%d configurations acknowledged, %d without a clear answer, newest version %d, %d bytes each, in %s", acknowledged, unclear, version,
		len(configuration(version, raceRoutes, "route-of-a-tenant-")), time.Since(started).Round(time.Second))
	if trouble {
		d.record.printf("no more changes are sent")
		time.Sleep(8 * time.Second)
	}
	for _, p := range d.of("control") {
		d.record.printf("%s: its files take %d of %d MB", p.name, folderSize(p.folder)>>20, p.diskMB)
	}
	read, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	status, answer, err := d.control(read, http.MethodGet, "/config", nil)
	d.record.printf("the configuration is read back: status %d, %d bytes, error %v", status, len(answer), err)
	n := d.ended("control", 3)
	if n > 0 {
		fmt.Println("core processes killed for their memory three times:", n)
	}
	return 2*n >= len(d.of("control")), nil
}
