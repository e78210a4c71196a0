// Command standin plays the platform, the upstreams and the callers of siskinpath.
package main

func main() {}
