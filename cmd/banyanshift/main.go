// Command banyanshift is filled in by the packages that it starts.
package main

func main() {}
