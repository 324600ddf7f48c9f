package routing

import (
	"net/netip"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func compareAddresses() cmp.Option { return cmpopts.EquateComparable(netip.AddrPort{}) }
