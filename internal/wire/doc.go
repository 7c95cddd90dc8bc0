// Package wire holds the messages and headers that rockcleat's processes
// exchange, and the means to send, count and authorize them.
package wire
