/** Use of the network link of a host. */
package org.coriandercrank.scheduling.link;
