/** Test support: a fault-injecting TCP proxy and control of child processes. */
package org.coriandercrank.testkit;
