package weightstore_test

import (
	"fmt"
	"time"

	"github.com/sycamoreline/sycamoreline/weightstore"
)

func ExampleBucket() {
	b := weightstore.NewBucket(1000, 500) // bytes per second, burst in bytes
	fmt.Println(b.Take(0, 500))
	fmt.Println(b.Take(0, 500))
	fmt.Println(b.Take(2*time.Second, 500))
	// Output:
	// 0s
	// 500ms
	// 0s
}
