/** What everything else is about: a job as its user described it, and what a worker reports. */
package dapplestair.work;
