// Package demo runs several instances with the stand-ins of package standin in
// one process on loopback, drives them through planned changes and failures,
// and reports what the stand-ins saw.
package demo
