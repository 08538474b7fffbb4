/** The one client of the cloud, within its call rate. */
package dapplestair.cloud;
