/**
 * The basic types of jobs and workers: a job as submitted by its user, a worker's report and the
 * commands to a worker.
 */
package dapplestair.work;
