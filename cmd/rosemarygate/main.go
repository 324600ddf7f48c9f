// Command rosemarygate runs the daemons of the load balancer and the commands of its operators.
package main

import (
	"os"

	"rosemarygate/pkg/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:]))
}
