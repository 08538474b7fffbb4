/** The client of the cloud, which keeps within the call rate of the cloud. */
package dapplestair.cloud;
