// Command bench measures the policies of siskinpath.
package main

func main() {}
