/** Tests of the parts of the daemon that decide without input and output. */
package org.coriandercrank.daemon.test;
