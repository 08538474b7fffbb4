/** Settings of the platform and of the operators, validated when they are read. */
package dapplestair.settings;
