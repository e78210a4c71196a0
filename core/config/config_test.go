package config

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func twoRoutes() *Config {
	return New(7, []Route{
		{Name: "all", Host: "shop.example", Prefix: "/", Split: []WeightedService{{Service: "front", Weight: 1}}},
		{Name: "pay", Host: "Shop.example", Prefix: "/pay/", Split: []WeightedService{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}},
	}, []Service{{Name: "old"}, {Name: "new"}}, Limits{})
}

func TestLookup(t *testing.T) {
	Convey("the route with the longest matching prefix is used", t, func() {
		c := twoRoutes()
		So(c.Lookup("shop.example", "/pay/1").Name, ShouldEqual, "pay")
		So(c.Lookup("SHOP.example:80", "/pay/").Name, ShouldEqual, "pay")
		So(c.Lookup("shop.example", "/pay").Name, ShouldEqual, "all")
		So(c.Lookup("other.example", "/pay/1"), ShouldBeNil)
	})
}

func TestSplit(t *testing.T) {
	Convey("the weights hold over many hosts with few requests each", t, func() {
		c := twoRoutes()
		r := c.Lookup("shop.example", "/pay/1")
		got := map[string]int{}
		for host := range 200 {
			s := Splitter{Rand: rand.New(rand.NewPCG(uint64(host), 1))}
			for range 5 {
				got[s.Pick(r)]++
			}
		}
		So(got["new"], ShouldBeBetween, 70, 130)
	})
	Convey("a service of weight 0 gets no requests, and without any weight no service is picked", t, func() {
		s := Splitter{Rand: rand.New(rand.NewPCG(1, 1))}
		none := &Route{Name: "r", Split: []WeightedService{{Service: "a"}, {Service: "b", Weight: 3}}}
		for range 20 {
			So(s.Pick(none), ShouldEqual, "b")
		}
		So(s.Pick(&Route{Name: "s", Split: []WeightedService{{Service: "a"}, {Service: "b"}}}), ShouldEqual, "")
	})
}
