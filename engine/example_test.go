package engine_test

import (
	"context"
	"fmt"
	"net/http/httptest"

	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/standin"
)

func ExampleClient_Stream() {
	e, err := engine.NewStandIn(engine.StandInSettings{
		Settings: standin.Settings{
			Server: "engine-1", DataCentre: "dc-1", Listen: "127.0.0.1:7301", RenewalMilliseconds: 500,
		},
		Models: []membership.Model{{Name: "pattern-7b"}},
		Slots:  1,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	server := httptest.NewServer(e)
	defer server.Close()
	client := engine.NewClient()
	defer client.Close()

	finish, err := client.Stream(context.Background(), server.Listener.Addr().String(), engine.Call{
		Program: "p-1", Call: 1, Attempt: 1, Model: "pattern-7b", MaxTokens: 4,
		Messages: []ledger.Message{{Role: "user", Content: "Which size fits a whippet?"}},
	}, func(t engine.Token) error {
		fmt.Printf("%d:%q ", t.Offset, t.Text)
		return nil
	})
	fmt.Println(finish.Reason, finish.Usage, err)
	// Output: 0:"small" 1:" lining" 2:" about" 3:" to" length {11 0 4} <nil>
}
