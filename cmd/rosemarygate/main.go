// Command rosemarygate is the load balancer's daemon and its operators' tool.
package main

import (
	"os"

	"rosemarygate/pkg/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:]))
}
