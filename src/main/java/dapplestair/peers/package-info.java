/** What controllers tell each other: who lives, who leads, and the view that placing needs. */
package dapplestair.peers;
