// Package standin provides small stand-ins for the platform and the targets,
// for tests and load trials. They listen on real sockets, can be told to
// fail, and record what they were asked. The serving path never imports it.
package standin
