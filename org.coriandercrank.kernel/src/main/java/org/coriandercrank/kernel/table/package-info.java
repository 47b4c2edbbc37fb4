/** Members of the fleet and assignment tables of services. */
package org.coriandercrank.kernel.table;
