/** The state service: requests within its limits, transactions, and a replica that follows it. */
package dapplestair.state;
