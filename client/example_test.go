package client_test

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"rosemarygate/client"
)

// Example sends one request that must not run twice and distinguishes its possible outcomes.
func Example() {
	transport, err := client.NewUDPTransport([]netip.AddrPort{
		netip.MustParseAddrPort("127.0.0.1:4101"),
		netip.MustParseAddrPort("127.0.0.2:4101"),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	c := client.New(transport, client.Config{})
	defer c.Close()

	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	flow, err := c.Open(ctx)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer flow.Close()
	result, err := flow.Do(ctx, client.Request{Class: "tally", Payload: []byte("12 welds")})
	switch {
	case err != nil:
		fmt.Println("not sent:", err)
	case result.Outcome == client.Answered:
		fmt.Println("counted:", string(result.Answer))
	case result.Outcome == client.NotRun:
		fmt.Println("send again:", result.Reason)
	default:
		fmt.Println("ask the application whether it ran")
	}
}
