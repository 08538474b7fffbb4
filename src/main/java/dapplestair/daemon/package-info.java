/** One machine that runs a controller and everything it needs from outside. */
package dapplestair.daemon;
