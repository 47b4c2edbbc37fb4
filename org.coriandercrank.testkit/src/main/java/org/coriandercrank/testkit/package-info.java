/** Local clusters of real processes with a fault-injecting TCP proxy, for experiments and tests. */
package org.coriandercrank.testkit;
