package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// BenchmarkBorrow measures one loan at the owner, depending on the number of accounts
// that it keeps.
func BenchmarkBorrow(b *testing.B) {
	for _, n := range []int{100, 2_100, 21_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			v := &member.View{Version: 1, Members: []member.Member{{Name: "i", PeerAddr: "i", State: member.Serving}}}
			v.Tables.Pools = []table.Pool{{Name: "p", Limits: []table.Limit{{Organisation: "*", Requests: 1e6, Tokens: 1e9, Concurrent: 100}}}}
			c := &cluster{view: v}
			o := &Owner{Self: "i", Members: c}
			calls := make([]Borrow, n)
			for i := range calls {
				calls[i] = Borrow{
					Key:  Key{Organisation: fmt.Sprintf("o%d", i), Pool: "p"},
					From: Borrower{Name: "i"}, Requests: 1, Tokens: 1000,
				}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if _, err := o.handleBorrow(b.Context(), &calls[i%n]); err != nil {
					b.Fatal(err)
				}
				i++
			}
		})
	}
}

// BenchmarkSpend measures one request that the allowance covers.
func BenchmarkSpend(b *testing.B) {
	a := newAllowance()
	l := table.Limit{Requests: 1, Tokens: 1, Concurrent: 1}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		a.addLoan(now, Loan{Requests: 1, Tokens: 1, MaxInFlight: a.inFlight + 1})
		if !a.spend(now, l, 1) {
			b.Fatal("allowance does not cover the request")
		}
	}
}
